#include "platform/adapters/HttpWeightStore.h"

#include "platform/client/Replies.h"

namespace cuminrail {

namespace {

constexpr int tooManyRequests = 429;
constexpr std::int64_t defaultRetryMs = 1000;

TicketReply toTicketReply(const PlatformAnswer &answer)
{
    TicketReply reply;
    reply.lastReason = answer.lastReason;
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.isSuccess() && body.is_object() && body.contains("ticket")
        && body["ticket"].is_string()) {
        reply.status = TicketStatus::Granted;
        reply.ticket = body["ticket"].get<std::string>();
    } else if (answer.status == tooManyRequests) {
        reply.status = TicketStatus::Later;
        const bool hasDelay = body.is_object() && body.contains("retry_after_ms")
            && body["retry_after_ms"].is_number_integer();
        reply.retryAfter =
            Millis(hasDelay ? body["retry_after_ms"].get<std::int64_t>() : defaultRetryMs);
    }
    return reply;
}

} // namespace

WeightStore makeHttpWeightStore(PlatformClient &client, const std::string &address)
{
    WeightStore store;
    store.requestTicket = [&client, address](const std::string &model, std::uint64_t bytes,
                                             std::function<void(const TicketReply &)> done) {
        PlatformCall call;
        call.kind = PlatformCallKind::Ticket;
        call.address = address;
        call.method = "POST";
        call.target = "/weights/tickets";
        call.body = nlohmann::json{{"model", model}, {"bytes", bytes}}.dump();
        client.call(call, [done = std::move(done)](const PlatformAnswer &answer) {
            done(toTicketReply(answer));
        });
    };
    return store;
}

} // namespace cuminrail
