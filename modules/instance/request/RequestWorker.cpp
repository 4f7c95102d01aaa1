#include "instance/request/RequestWorker.h"

#include "core/events/EventCatalogue.h"
#include "instance/request/RequestFlow.h"
#include "instance/request/RequestPlan.h"

#include <array>
#include <cstdio>

namespace cuminrail {

namespace {

/** One in this many routing decisions is logged with its reasons. */
constexpr std::uint64_t decisionSampleInterval = 1000;

HttpServerLimits serverLimits(const InstanceConfig &config)
{
    HttpServerLimits limits;
    limits.message.headBytes = config.maxHeadBytes;
    limits.message.bodyBytes = config.maxBodyBytes;
    limits.headTimeout = config.headTimeout;
    limits.bodyStallTimeout = config.bodyStallTimeout;
    limits.idleTimeout = config.idleTimeout;
    limits.writeStallTimeout = config.writeStallTimeout;
    limits.connections = config.maxConnections;
    // A body's buffer can be twice as long as the body, and the upstream is sent a copy.
    limits.heldBytes = 3 * config.maxAllBodyBytes;
    return limits;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

ErrorCode errorCodeForStatus(int status)
{
    switch (status) {
    case 408:
        return ErrorCode::RequestTimeout;
    case 413:
        return ErrorCode::TooLarge;
    case 503:
        return ErrorCode::Overloaded;
    default:
        return ErrorCode::InvalidRequest;
    }
}

} // namespace

RequestWorker::RequestWorker(ServingContext &context, AdmissionDesk &admission,
                             std::shared_ptr<ServerLoad> load, std::uint64_t seed)
    : context_(context), admission_(admission), thread_(context.config.deadlineTick),
      random_(seededRandom(seed)), idPrefix_(toHex(random_())),
      pool_(thread_.io(), thread_.deadlines()),
      server_(thread_.io(), thread_.deadlines(), serverLimits(context.config), serverHooks(),
              std::move(load))
{ }

RequestWorker::~RequestWorker()
{
    stop();
}

void RequestWorker::start()
{
    pool_.setFaultHook(context_.sendFault);
    thread_.start();
}

void RequestWorker::stop()
{
    thread_.stop();
    thread_.join();
    flows_.clear();
    server_.closeAll();
    pool_.closeAll();
    thread_.runLeftovers();
}

bool RequestWorker::listen(const ListenAddress &address, const TlsFiles *tls, Reason *lastReason)
{
    if (tls != nullptr)
        server_.useTls(*tls);
    return server_.listen(address.address, address.port, true, lastReason);
}

std::string RequestWorker::nextRequestId()
{
    return idPrefix_ + "-" + std::to_string(++lastId_);
}

HttpServerHooks RequestWorker::serverHooks()
{
    HttpServerHooks hooks;
    hooks.onHead = [this](const HttpHead &head) { return checkHead(head); };
    hooks.onProblem = [this](int status, const Reason &reason) {
        return protocolErrorResponse(status, reason);
    };
    hooks.onOutOfOrder = [this](const Reason &reason) {
        context_.events(Event{&events::responseOutOfOrder, {{"reason", reason.toString()}}});
    };
    hooks.onRequest = [this](const std::shared_ptr<HttpExchange> &exchange) {
        const auto flow = std::make_shared<RequestFlow>(*this, exchange);
        keep(flow);
        flow->start();
    };
    return hooks;
}

std::optional<HttpResponse> RequestWorker::checkHead(const HttpHead &head)
{
    Refusal refusal;
    {
        const RcuReadScope scope;
        // Checked before the body is received, so that unauthenticated callers cannot use up
        // memory with bodies.
        if (!authenticate(head, context_.snapshot.get(scope), &refusal))
            return rejectRequest(refusal);
    }
    if (context_.isStale.load(std::memory_order_relaxed))
        return rejectRequest({ErrorCode::StaleConfiguration,
                              "this instance does not know how current its keys are",
                              {},
                              Verdict::NotRun,
                              Millis::seconds(5)});
    return std::nullopt;
}

HttpResponse RequestWorker::protocolErrorResponse(int status, const Reason &reason)
{
    return rejectRequest({errorCodeForStatus(status),
                          reason.toString(),
                          {},
                          Verdict::NotRun,
                          status == 503 ? Millis::seconds(1) : Millis(0)});
}

HttpResponse RequestWorker::rejectRequest(const Refusal &refusal)
{
    const std::string id = nextRequestId();
    RequestCounters::add(counters_.errors[static_cast<std::size_t>(refusal.code)]);
    reportRefusal(id, CustomerId(), refusal);
    return errorAnswer(refusal, id);
}

void RequestWorker::sampleDecision(const RoutingRequest &request, const RoutingChoice &choice,
                                   const RoutingTable &table)
{
    if (decisionCount_++ % decisionSampleInterval == 0)
        context_.events(explainChoice(request, choice, table));
}

void RequestWorker::reportRefusal(const std::string &requestId, const CustomerId &customer,
                                  const Refusal &refusal)
{
    context_.events(Event{&events::requestRefused,
                          {{"request", requestId},
                           {"customer", customer.text()},
                           {"code", std::string(errorCodeName(refusal.code))},
                           {"verdict", std::string(verdictNames.name(refusal.verdict))}}});
}

} // namespace cuminrail
