#pragma once

#include "core/names/NameTable.h"
#include "ports/testing/FakeProcess.h"
#include "ports/testing/FakeScheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

/** The two points of a call at which a fault may strike. */
enum class MessageLeg : std::uint8_t {
    /** The request is about to leave its process; it has had no effect. */
    Request,
    /** The request has taken effect, the answer is about to travel back. */
    Reply,
};

inline constexpr NameTable<MessageLeg, 2> messageLegNames{{{
    {MessageLeg::Request, "request"},
    {MessageLeg::Reply, "reply"},
}}};

/** One message, numbered in the order of the run. */
struct FakeMessage
{
    std::size_t number = 0;
    Millis when;
    std::string process;
    std::string endpoint;
    std::string operation;
    std::string subject;
    MessageLeg leg = MessageLeg::Request;

    /** Returns a line for people: "a engine send e1 request". */
    std::string toString() const;
};

/** What becomes of a message. */
struct MessageFate
{
    bool lost = false;
    /** Time spent on the way, after the bytes have left. */
    Millis delay;
};

/** Sees each message first; may kill or pause its process and decides on its fate. */
using MessageHook = std::function<MessageFate(const FakeMessage &)>;

/** A call to an endpoint: what it does there and how it ends at the caller. */
struct FakeCall
{
    using Deliver = std::function<void()>;
    using Answer = std::function<void(Deliver)>;

    std::string endpoint;
    std::string operation;
    std::string subject;
    /** Runs at the endpoint and answers once, now or later. */
    std::function<void(const Answer &)> effect;
    /** Tells the caller that the endpoint refused the connection: no effect. */
    Deliver refused;
    /** Tells the caller that no answer came in time. */
    Deliver unanswered;
    /** Asked when the bytes really leave; false ends the call with @c refused. May be null. */
    std::function<bool()> mayLeave;
    /** How long the caller waits beyond the network's timeout. */
    Millis extraWait;
};

/**
    Carries calls from processes to endpoints, with the faults that a test asks for.

    Each call ends exactly once, and never from inside call(). A caller that gets no answer within
    the timeout opens a new connection, as the real adapters do, so that a silenced one is replaced.
*/
class FakeNetwork
{
public:
    explicit FakeNetwork(FakeScheduler &scheduler) : scheduler_(scheduler) { }
    FakeNetwork(const FakeNetwork &) = delete;
    FakeNetwork &operator=(const FakeNetwork &) = delete;

    void call(const FakeProcessPtr &from, FakeCall call);

    /** Sets who sees each message first. */
    void setHook(MessageHook hook) { hook_ = std::move(hook); }
    /** Loses all messages between a process and an endpoint, "*" for every endpoint. */
    void setCut(const std::string &process, const std::string &endpoint, bool cut);
    /** Makes the open connection lose everything until a call on it has timed out. */
    void silence(const std::string &process, const std::string &endpoint);
    /** Makes an endpoint refuse connections. */
    void setDown(const std::string &endpoint, bool down);
    /** Adds a span to every answer of an endpoint. */
    void setSlow(const std::string &endpoint, Millis delay) { slow_[endpoint] = delay; }

    /** Returns every message so far, in order. */
    const std::vector<FakeMessage> &messages() const { return messages_; }
    FakeScheduler &scheduler() { return scheduler_; }

    /** How long a caller waits for an answer. */
    static constexpr Millis callTimeout{1000};

private:
    struct Exchange;
    using Link = std::pair<std::string, std::string>;

    MessageFate announce(const Exchange &exchange, MessageLeg leg);
    bool isLost(const Exchange &exchange) const;
    void leave(const std::shared_ptr<Exchange> &exchange, Millis delay);
    void arrive(const std::shared_ptr<Exchange> &exchange);
    void answer(const std::shared_ptr<Exchange> &exchange, const FakeCall::Deliver &deliver);
    void finish(const std::shared_ptr<Exchange> &exchange, const FakeCall::Deliver &deliver);
    void whenRunning(const FakeProcessPtr &process, std::function<void()> action);

    FakeScheduler &scheduler_;
    MessageHook hook_;
    std::set<Link> cuts_;
    std::set<Link> silenced_;
    std::set<std::string> down_;
    std::map<std::string, Millis> slow_;
    std::vector<FakeMessage> messages_;
};

} // namespace cuminrail
