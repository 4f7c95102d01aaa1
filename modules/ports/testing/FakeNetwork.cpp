#include "ports/testing/FakeNetwork.h"

namespace cuminrail {

namespace {
constexpr Millis oneWay{1};
} // namespace

struct FakeNetwork::Exchange
{
    FakeProcessPtr from;
    FakeCall call;
    bool finished = false;
};

std::string FakeMessage::toString() const
{
    return process + " " + endpoint + " " + operation + " " + subject + " "
        + std::string(messageLegNames.name(leg));
}

void FakeNetwork::call(const FakeProcessPtr &from, FakeCall call)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->from = from;
    exchange->call = std::move(call);
    const Link link{from->name(), exchange->call.endpoint};
    scheduler_.after(callTimeout + exchange->call.extraWait, [this, exchange, link] {
        if (exchange->finished)
            return;
        silenced_.erase(link);
        finish(exchange, exchange->call.unanswered);
    });
    const MessageFate fate = announce(*exchange, MessageLeg::Request);
    if (fate.lost || isLost(*exchange))
        return;
    if (down_.count(exchange->call.endpoint) != 0) {
        scheduler_.after(oneWay, [this, exchange] { finish(exchange, exchange->call.refused); });
        return;
    }
    whenRunning(from, [this, exchange, fate] { leave(exchange, fate.delay); });
}

MessageFate FakeNetwork::announce(const Exchange &exchange, MessageLeg leg)
{
    FakeMessage message;
    message.number = messages_.size();
    message.when = scheduler_.now();
    message.process = exchange.from->name();
    message.endpoint = exchange.call.endpoint;
    message.operation = exchange.call.operation;
    message.subject = exchange.call.subject;
    message.leg = leg;
    messages_.push_back(message);
    return hook_ ? hook_(message) : MessageFate{};
}

bool FakeNetwork::isLost(const Exchange &exchange) const
{
    const std::string &process = exchange.from->name();
    return cuts_.count({process, "*"}) != 0 || cuts_.count({process, exchange.call.endpoint}) != 0
        || silenced_.count({process, exchange.call.endpoint}) != 0;
}

void FakeNetwork::leave(const std::shared_ptr<Exchange> &exchange, Millis delay)
{
    if (exchange->call.mayLeave && !exchange->call.mayLeave()) {
        scheduler_.after(Millis(0), [this, exchange] { finish(exchange, exchange->call.refused); });
        return;
    }
    scheduler_.after(oneWay + delay, [this, exchange] { arrive(exchange); });
}

void FakeNetwork::arrive(const std::shared_ptr<Exchange> &exchange)
{
    if (isLost(*exchange))
        return;
    const auto slow = slow_.find(exchange->call.endpoint);
    const Millis delay = slow == slow_.end() ? Millis(0) : slow->second;
    scheduler_.after(delay, [this, exchange] {
        exchange->call.effect(
            [this, exchange](const FakeCall::Deliver &deliver) { answer(exchange, deliver); });
    });
}

void FakeNetwork::answer(const std::shared_ptr<Exchange> &exchange,
                         const FakeCall::Deliver &deliver)
{
    const MessageFate fate = announce(*exchange, MessageLeg::Reply);
    if (fate.lost || isLost(*exchange))
        return;
    scheduler_.after(oneWay + fate.delay, [this, exchange, deliver] { finish(exchange, deliver); });
}

void FakeNetwork::finish(const std::shared_ptr<Exchange> &exchange,
                         const FakeCall::Deliver &deliver)
{
    whenRunning(exchange->from, [exchange, deliver] {
        if (exchange->finished)
            return;
        exchange->finished = true;
        deliver();
    });
}

void FakeNetwork::whenRunning(const FakeProcessPtr &process, std::function<void()> action)
{
    if (!process->isAlive())
        return;
    if (process->isRunning(scheduler_.now())) {
        action();
        return;
    }
    scheduler_.at(process->pausedUntil(),
                  [this, process, action = std::move(action)] { whenRunning(process, action); });
}

void FakeNetwork::setCut(const std::string &process, const std::string &endpoint, bool cut)
{
    if (cut)
        cuts_.insert({process, endpoint});
    else
        cuts_.erase({process, endpoint});
}

void FakeNetwork::silence(const std::string &process, const std::string &endpoint)
{
    silenced_.insert({process, endpoint});
}

void FakeNetwork::setDown(const std::string &endpoint, bool down)
{
    if (down)
        down_.insert(endpoint);
    else
        down_.erase(endpoint);
}

} // namespace cuminrail
