#include "carriage/calls/IncomingCalls.h"

#include <algorithm>
#include <vector>

namespace cuminrail {

void IncomingCall::sendHead(int status, const std::vector<CarriedField> &fields, bool isStream)
{
    if (calls_ == nullptr || !isInOrder(!hasHead_ && !end_, "sendHead"))
        return;
    hasHead_ = true;
    const CarriedHead head{open_.call, static_cast<std::uint16_t>(status), isStream, fields};
    calls_->hooks_.transport.send(from_, encodeCarriage(head));
}

void IncomingCall::write(std::string_view data)
{
    if (calls_ == nullptr || !isInOrder(hasHead_ && !end_, "write"))
        return;
    unsent_.append(data);
    flush();
}

bool IncomingCall::isInOrder(bool isOrdered, const char *call)
{
    if (isOrdered)
        return true;
    if (calls_->hooks_.onOutOfOrder)
        calls_->hooks_.onOutOfOrder({call, "is out of the carried response's order"});
    if (!end_)
        end_.emplace();
    end_->result = CarriedResult::Truncated;
    end_->reason = "the carrier called for it out of order";
    flush();
    return false;
}

void IncomingCall::flush()
{
    const std::uint64_t mayBeSent = taken_ + CarriageLimits::window - sent_;
    std::size_t position = 0;
    const std::size_t end = std::min<std::size_t>(unsent_.size(), std::size_t(mayBeSent));
    while (position < end) {
        const std::size_t size = std::min(CarriageLimits::chunk, end - position);
        const CarriedChunk chunk{open_.call, true, sent_, unsent_.substr(position, size)};
        calls_->hooks_.transport.send(from_, encodeCarriage(chunk));
        position += size;
        sent_ += size;
    }
    unsent_.erase(0, position);
    if (end_ && unsent_.empty()) {
        end_->call = open_.call;
        end_->bytes = sent_;
        calls_->hooks_.transport.send(from_, encodeCarriage(*end_));
        detach();
    }
}

void IncomingCall::finish(CarriedEnd end)
{
    if (calls_ == nullptr || !isInOrder(!end_, "finish"))
        return;
    end_ = std::move(end);
    flush();
}

bool IncomingCall::isCongested() const
{
    return calls_ != nullptr && !unsent_.empty();
}

void IncomingCall::detach()
{
    const auto self = shared_from_this();
    onWritable_ = nullptr;
    onAbandoned_ = nullptr;
    if (calls_ != nullptr)
        calls_->remove(*this);
    calls_ = nullptr;
}

void IncomingCall::abandon()
{
    const auto self = shared_from_this();
    const auto onAbandoned = std::move(onAbandoned_);
    detach();
    if (onAbandoned)
        onAbandoned();
}

IncomingCalls::~IncomingCalls()
{
    dropAll();
}

void IncomingCalls::dropAll()
{
    const auto calls = std::move(calls_);
    calls_.clear();
    for (const auto &[key, call] : calls) {
        call->calls_ = nullptr;
        call->detach();
    }
    bodyBytes_ = 0;
}

std::shared_ptr<IncomingCall> IncomingCalls::find(const PeerAddress &from, CarriedCallId call) const
{
    const auto found = calls_.find({from, call});
    return found == calls_.end() ? nullptr : found->second;
}

void IncomingCalls::remove(const IncomingCall &call)
{
    bodyBytes_ -= calls_.erase({call.from_, call.open_.call}) > 0 ? call.open_.bodyBytes : 0;
}

void IncomingCalls::handle(const PeerAddress &from, const CarriageMessage &message)
{
    if (std::holds_alternative<CarrierQuery>(message)) {
        const bool canCarry = hasRoom() && hooks_.refusal().empty();
        hooks_.transport.send(from, encodeCarriage(CarrierStatus{canCarry}));
    } else if (const auto *opened = std::get_if<CarriedOpen>(&message)) {
        open(from, *opened);
    } else if (const auto *chunk = std::get_if<CarriedChunk>(&message)) {
        receive(from, *chunk);
    } else if (const auto *credit = std::get_if<CarriedCredit>(&message)) {
        const auto call = credit->isResponse ? find(from, credit->call) : nullptr;
        if (call == nullptr || credit->taken > call->sent_)
            return;
        call->taken_ = std::max(call->taken_, credit->taken);
        call->flush();
        if (!call->isCongested() && call->onWritable_)
            std::exchange(call->onWritable_, nullptr)();
    } else if (const auto *cancel = std::get_if<CarriedCancel>(&message)) {
        if (const auto call = find(from, cancel->call))
            call->abandon();
    }
}

void IncomingCalls::decline(const PeerAddress &from, CarriedCallId call, const std::string &reason)
{
    CarriedEnd end;
    end.call = call;
    end.result = CarriedResult::Declined;
    end.reason = reason;
    hooks_.transport.send(from, encodeCarriage(end));
}

bool IncomingCalls::isNew(const PeerAddress &from, CarriedCallId call)
{
    // A lower number is no repeat: it may come late over a link that is being replaced, or from a
    // new process of the peer, whose numbers begin anywhere.
    const auto last = newestCalls_.find(from);
    const bool isLast = last != newestCalls_.end() && last->second == call;
    newestCalls_[from] = call;
    return !isLast && find(from, call) == nullptr;
}

void IncomingCalls::open(const PeerAddress &from, const CarriedOpen &open)
{
    if (!isNew(from, open.call))
        return;
    const std::string refusal = hooks_.refusal();
    if (!refusal.empty())
        return decline(from, open.call, refusal);
    if (!hasRoom() || open.bodyBytes > bounds_.bodyBytes - std::min(bodyBytes_, bounds_.bodyBytes))
        return decline(from, open.call, "as many requests are carried as may be");
    const auto call = std::make_shared<IncomingCall>(*this, from, open);
    calls_[{from, open.call}] = call;
    bodyBytes_ += open.bodyBytes;
    startIfComplete(call);
}

void IncomingCalls::receive(const PeerAddress &from, const CarriedChunk &chunk)
{
    const auto call = chunk.isResponse ? nullptr : find(from, chunk.call);
    if (call == nullptr || call->isStarted_)
        return;
    const bool isNext = chunk.offset == call->body_.size()
        && call->body_.size() + chunk.data.size() <= call->open_.bodyBytes;
    if (!isNext) {
        decline(from, chunk.call, "a part of the request was lost on the way");
        return call->detach();
    }
    call->body_ += chunk.data;
    hooks_.transport.send(from,
                          encodeCarriage(CarriedCredit{chunk.call, false, call->body_.size()}));
    startIfComplete(call);
}

void IncomingCalls::startIfComplete(const std::shared_ptr<IncomingCall> &call)
{
    if (call->body_.size() < call->open_.bodyBytes)
        return;
    call->isStarted_ = true;
    hooks_.onRequest(call);
}

void IncomingCalls::linkClosed(const PeerAddress &from)
{
    newestCalls_.erase(from);
    std::vector<std::shared_ptr<IncomingCall>> abandoned;
    for (auto each = calls_.lower_bound({from, 0}); each != calls_.end(); ++each) {
        if (each->first.first != from)
            break;
        abandoned.push_back(each->second);
    }
    for (const auto &call : abandoned)
        call->abandon();
}

} // namespace cuminrail
