#pragma once

#include "carriage/messages/CarriageMessages.h"
#include "core/random/Random.h"
#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cuminrail {

/** Callbacks of a request that a carrier has; onEnd is called last and once. */
struct CarriedCallHooks
{
    std::function<void(const CarriedHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(const CarriedEnd &)> onEnd;
};

/**
    The requests of this instance that others carry.

    Bodies are sent and taken in windows, so that neither end holds more than a window of a request
    that is under way. A message that was lost on the link, or the end of the link, ends a request
    as lost: it may have run.
*/
class OutgoingCalls
{
public:
    OutgoingCalls(PeerTransport transport, RandomHook random);

    /**
        Hands a request to a carrier. @c open gets its id here.

        @returns nothing, with no effect, if the request's head is too large for the link
    */
    std::optional<CarriedCallId> start(const PeerAddress &carrier, CarriedOpen open,
                                       std::string body, CarriedCallHooks hooks);
    /** Abandons a request without a call of onEnd. */
    void cancel(CarriedCallId call);
    /** Takes no more of the response's body until resume(). */
    void pause(CarriedCallId call);
    void resume(CarriedCallId call);
    bool isActive(CarriedCallId call) const { return calls_.count(call) > 0; }
    std::size_t size() const { return calls_.size(); }
    /** Returns the number of requests that a carrier has. */
    std::size_t countAt(const PeerAddress &carrier) const;

    /** Handles a message of a carrier; those for requests that have ended are ignored. */
    void handle(const PeerAddress &from, const CarriageMessage &message);
    /** Forgets all requests, without calling their hooks. */
    void dropAll() { calls_.clear(); }
    /** The link to a carrier ended: its requests are lost. */
    void linkClosed(const PeerAddress &carrier);

private:
    struct Call
    {
        PeerAddress carrier;
        CarriedCallHooks hooks;
        std::string body;
        std::size_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t taken = 0;
        bool hasHead = false;
        bool isPaused = false;
    };

    Call *find(const PeerAddress &from, CarriedCallId call);
    void sendBody(CarriedCallId id, Call &call, std::uint64_t taken);
    void receive(const PeerAddress &from, const CarriedChunk &chunk);
    void take(CarriedCallId id, Call &call);
    void finish(const PeerAddress &from, const CarriedEnd &end);
    /** Ends a request as lost and tells the carrier, which may still run it. */
    void lose(CarriedCallId id, const std::string &reason);

    PeerTransport transport_;
    CarriedCallId nextCall_;
    std::unordered_map<CarriedCallId, Call> calls_;
};

} // namespace cuminrail
