#pragma once

#include "carriage/messages/CarriageMessages.h"
#include "core/errors/Reason.h"
#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cuminrail {

class IncomingCalls;

/**
    A request of another instance that this one runs, and the means to respond to it.

    The head comes first, then the body, then the end, each once. A call out of this order is a
   fault of the program: nothing of it is sent, and the response ends as truncated. After the end or
    abandonment of the request, calls have no effect.
*/
class IncomingCall : public std::enable_shared_from_this<IncomingCall>
{
public:
    IncomingCall(IncomingCalls &calls, PeerAddress from, CarriedOpen open)
        : calls_(&calls), from_(std::move(from)), open_(std::move(open))
    { }

    const CarriedOpen &request() const { return open_; }
    std::string &body() { return body_; }

    void sendHead(int status, const std::vector<CarriedField> &fields, bool isStream);
    /** Sends a part of the response's body, or keeps it until the other end takes more. */
    void write(std::string_view data);
    /** Ends the request; what was written before is sent first. */
    void finish(CarriedEnd end);
    /** Returns true while the other end takes the response too slowly. */
    bool isCongested() const;
    /** Sets the hook called once, when the response is no longer congested. */
    void onWritable(std::function<void()> hook) { onWritable_ = std::move(hook); }
    /** Sets the hook called when the other instance abandons the request, or its link ends. */
    void onAbandoned(std::function<void()> hook) { onAbandoned_ = std::move(hook); }

private:
    friend class IncomingCalls;

    /** Reports a call, if it is out of order, and ends the response as truncated. */
    bool isInOrder(bool isOrdered, const char *call);
    void flush();
    void abandon();
    void detach();

    /** Null once the request has ended. */
    IncomingCalls *calls_;
    PeerAddress from_;
    CarriedOpen open_;
    std::string body_;
    bool isStarted_ = false;
    bool hasHead_ = false;
    /** Written, but not yet sent. */
    std::string unsent_;
    std::uint64_t sent_ = 0;
    std::uint64_t taken_ = 0;
    std::optional<CarriedEnd> end_;
    std::function<void()> onWritable_;
    std::function<void()> onAbandoned_;
};

/** The requests that this instance carries for others. */
class IncomingCalls
{
public:
    struct Bounds
    {
        std::size_t calls = 64;
        /** Bytes of all requests' bodies together. */
        std::uint64_t bodyBytes = 16U << 20U;
    };

    struct Hooks
    {
        PeerTransport transport;
        /** Returns why no request can be carried now, or an empty text. */
        std::function<std::string()> refusal;
        /** A request has arrived completely. */
        std::function<void(const std::shared_ptr<IncomingCall> &)> onRequest;
        /** Optional. The program called for a response out of its order. */
        std::function<void(const Reason &)> onOutOfOrder = {};
    };

    IncomingCalls(Bounds bounds, Hooks hooks) : bounds_(bounds), hooks_(std::move(hooks)) { }
    ~IncomingCalls();
    IncomingCalls(const IncomingCalls &) = delete;
    IncomingCalls &operator=(const IncomingCalls &) = delete;

    void handle(const PeerAddress &from, const CarriageMessage &message);
    /** The link to an instance ended: nobody waits for its requests any more. */
    void linkClosed(const PeerAddress &from);
    std::size_t size() const { return calls_.size(); }
    /** Returns whether one more request would be taken. */
    bool hasRoom() const { return calls_.size() < bounds_.calls; }
    /** Detaches all requests, without calling their hooks. */
    void dropAll();

private:
    friend class IncomingCall;
    using Key = std::pair<PeerAddress, CarriedCallId>;

    /** Returns whether a call was not opened before over the peer's link. */
    bool isNew(const PeerAddress &from, CarriedCallId call);
    void open(const PeerAddress &from, const CarriedOpen &open);
    void receive(const PeerAddress &from, const CarriedChunk &chunk);
    void startIfComplete(const std::shared_ptr<IncomingCall> &call);
    void decline(const PeerAddress &from, CarriedCallId call, const std::string &reason);
    std::shared_ptr<IncomingCall> find(const PeerAddress &from, CarriedCallId call) const;
    void remove(const IncomingCall &call);

    Bounds bounds_;
    Hooks hooks_;
    std::map<Key, std::shared_ptr<IncomingCall>> calls_;
    /** The last call that was opened over each peer's link. */
    std::map<PeerAddress, CarriedCallId> newestCalls_;
    std::uint64_t bodyBytes_ = 0;
};

} // namespace cuminrail
