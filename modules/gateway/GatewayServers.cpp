#include "core/events/EventCatalogue.h"
#include "gateway/Gateway.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

HttpServerHooks
Gateway::serverHooks(std::function<void(const std::shared_ptr<HttpExchange> &)> onRequest)
{
    HttpServerHooks hooks;
    hooks.onRequest = std::move(onRequest);
    hooks.onProblem = [this](int status, const Reason &reason) {
        return problemAnswer(status, reason);
    };
    hooks.onOutOfOrder = [this](const Reason &reason) { reportOutOfOrder(reason); };
    return hooks;
}

void Gateway::reportOutOfOrder(const Reason &reason) const
{
    environment_.events(Event{&events::responseOutOfOrder, {{"reason", reason.toString()}}});
}

void Gateway::noteStray(const StrayResponse &stray)
{
    context_.metrics.strayResponse(stray.place);
    environment_.events(Event{&events::strayResponse,
                              {{"place", std::string(strayPlaceNames.name(stray.place))},
                               {"address", stray.address},
                               {"expected", stray.expected},
                               {"found", stray.found},
                               {"status", std::to_string(stray.status)},
                               {"connection_requests", std::to_string(stray.requests)},
                               {"bytes", std::to_string(stray.bytes)}}});
}

void Gateway::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    noteExchangeActivity();
    std::make_shared<RequestRelay>(context_, exchange)->start();
}

void Gateway::onReadinessRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    HttpResponse answer;
    answer.status = isReady() ? 200 : 503;
    exchange->respond(answer);
}

HttpResponse Gateway::problemAnswer(int status, const Reason &reason) const
{
    const auto retryAfter = status == 503 ? std::optional<Millis>(Millis(500)) : std::nullopt;
    return wire_.localResponse(status, {}, retryAfter, reason.toString());
}

} // namespace cuminrail
