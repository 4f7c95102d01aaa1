#include "carriage/calls/OutgoingCalls.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cuminrail {

OutgoingCalls::OutgoingCalls(PeerTransport transport, RandomHook random)
    : transport_(std::move(transport)), nextCall_(random())
{ }

std::optional<CarriedCallId> OutgoingCalls::start(const PeerAddress &carrier, CarriedOpen open,
                                                  std::string body, CarriedCallHooks hooks)
{
    const CarriedCallId id = ++nextCall_;
    open.call = id;
    open.bodyBytes = body.size();
    const std::string frame = encodeCarriage(open);
    if (!decodeCarriage(frame))
        return std::nullopt;
    Call &call = calls_[id];
    call.carrier = carrier;
    call.hooks = std::move(hooks);
    call.body = std::move(body);
    transport_.send(carrier, frame);
    sendBody(id, call, 0);
    return id;
}

void OutgoingCalls::sendBody(CarriedCallId id, Call &call, std::uint64_t taken)
{
    const std::uint64_t end =
        std::min<std::uint64_t>(call.body.size(), taken + CarriageLimits::window);
    while (call.sent < end) {
        const std::size_t size =
            std::min<std::size_t>(CarriageLimits::chunk, std::size_t(end) - call.sent);
        CarriedChunk chunk{id, false, call.sent, call.body.substr(call.sent, size)};
        call.sent += size;
        transport_.send(call.carrier, encodeCarriage(chunk));
    }
}

OutgoingCalls::Call *OutgoingCalls::find(const PeerAddress &from, CarriedCallId call)
{
    const auto found = calls_.find(call);
    return found != calls_.end() && found->second.carrier == from ? &found->second : nullptr;
}

std::size_t OutgoingCalls::countAt(const PeerAddress &carrier) const
{
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(),
                      [&](const auto &each) { return each.second.carrier == carrier; }));
}

void OutgoingCalls::cancel(CarriedCallId call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    const PeerAddress carrier = found->second.carrier;
    calls_.erase(found);
    transport_.send(carrier, encodeCarriage(CarriedCancel{call}));
}

void OutgoingCalls::pause(CarriedCallId call)
{
    const auto found = calls_.find(call);
    if (found != calls_.end())
        found->second.isPaused = true;
}

void OutgoingCalls::resume(CarriedCallId call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    found->second.isPaused = false;
    take(call, found->second);
}

void OutgoingCalls::take(CarriedCallId id, Call &call)
{
    if (call.isPaused || call.received - call.taken < CarriageLimits::window / 2)
        return;
    call.taken = call.received;
    transport_.send(call.carrier, encodeCarriage(CarriedCredit{id, true, call.taken}));
}

void OutgoingCalls::handle(const PeerAddress &from, const CarriageMessage &message)
{
    if (const auto *head = std::get_if<CarriedHead>(&message)) {
        Call *const call = find(from, head->call);
        if (call == nullptr)
            return;
        if (call->hasHead)
            return lose(head->call, "the carrier sent a second head");
        call->hasHead = true;
        if (call->hooks.onHead)
            call->hooks.onHead(*head);
    } else if (const auto *chunk = std::get_if<CarriedChunk>(&message)) {
        receive(from, *chunk);
    } else if (const auto *credit = std::get_if<CarriedCredit>(&message)) {
        Call *const call = credit->isResponse ? nullptr : find(from, credit->call);
        if (call != nullptr)
            sendBody(credit->call, *call, credit->taken);
    } else if (const auto *end = std::get_if<CarriedEnd>(&message)) {
        finish(from, *end);
    }
}

void OutgoingCalls::receive(const PeerAddress &from, const CarriedChunk &chunk)
{
    Call *call = chunk.isResponse ? find(from, chunk.call) : nullptr;
    if (call == nullptr)
        return;
    if (!call->hasHead)
        return lose(chunk.call, "the carrier sent a part of the response before its head");
    if (chunk.offset != call->received)
        return lose(chunk.call, "a part of the response was lost on the way");
    call->received += chunk.data.size();
    const auto onBody = call->hooks.onBody;
    if (onBody)
        onBody(chunk.data);
    // The hook may have ended the request.
    call = find(from, chunk.call);
    if (call != nullptr)
        take(chunk.call, *call);
}

void OutgoingCalls::finish(const PeerAddress &from, const CarriedEnd &end)
{
    Call *const call = find(from, end.call);
    if (call == nullptr)
        return;
    const bool isWhole = call->hasHead && end.bytes == call->received;
    if (end.result == CarriedResult::Complete && !isWhole)
        return lose(end.call, "a part of the response was lost on the way");
    const bool saysNotRun =
        end.result == CarriedResult::Declined || end.result == CarriedResult::NotRun;
    if (saysNotRun && call->hasHead)
        return lose(end.call, "the carrier began a response and then declined");
    const auto onEnd = std::move(call->hooks.onEnd);
    calls_.erase(end.call);
    if (onEnd)
        onEnd(end);
}

void OutgoingCalls::lose(CarriedCallId id, const std::string &reason)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const Call call = std::move(found->second);
    calls_.erase(found);
    transport_.send(call.carrier, encodeCarriage(CarriedCancel{id}));
    CarriedEnd end;
    end.call = id;
    end.result = CarriedResult::Lost;
    end.reason = reason;
    if (call.hooks.onEnd)
        call.hooks.onEnd(end);
}

void OutgoingCalls::linkClosed(const PeerAddress &carrier)
{
    std::vector<CarriedCallId> lost;
    for (const auto &[id, call] : calls_) {
        if (call.carrier == carrier)
            lost.push_back(id);
    }
    for (const CarriedCallId id : lost)
        lose(id, "the link to the carrier ended");
}

} // namespace cuminrail
