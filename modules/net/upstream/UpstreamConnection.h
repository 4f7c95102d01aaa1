#pragma once

#include "net/http/EmbeddedHead.h"
#include "net/http/HttpParser.h"
#include "net/upstream/SentIdentities.h"
#include "net/upstream/UpstreamPool.h"

#include <array>
#include <optional>

namespace cuminrail::detail {

/** A connection to an upstream together with the attempt that it currently serves. */
class UpstreamConnection final : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(UpstreamPool &pool, std::string address);
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /** Starts an attempt; connects first unless the connection is open. */
    void begin(UpstreamRequest request, UpstreamHooks hooks);
    /** Closes without calling onEnd. */
    void close();
    const std::string &address() const { return address_; }

    void pause() { isPaused_ = true; }
    void resume();
    void cancel();
    Verdict verdictSoFar() const;
    /** Returns the number of the attempt in progress; incremented when an attempt ends. */
    std::uint64_t attempt() const { return attempt_; }
    /** Returns whether a response to this request could be told from late ones to others. */
    bool canTellResponseOf(const UpstreamRequest &request) const;
    /** Returns true if an idle connection was closed or has received unexpected bytes. */
    bool isStale();
    /** Returns true if the other end has not answered a keep-alive probe in time. */
    bool isUnanswered();
    /** Returns true if the other end has not received all that was sent, as far as is known. */
    bool hasUnacknowledged();
    /** Returns when the connection became idle; valid only while it is idle. */
    Millis idleSince() const { return idleSince_; }

private:
    enum class State : std::uint8_t { New, Connecting, Sending, Receiving, Idle, Closed };
    /** Whose response a head begins. */
    enum class Owner : std::uint8_t { Request, EarlierRequest, Unknown };

    void connect();
    void onConnected(const boost::system::error_code &error);
    void applySocketOptions();
    void send();
    void writeSome(std::size_t maxBytes);
    void onSent(const boost::system::error_code &error, std::size_t size);
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void handleRead(const boost::system::error_code &error, std::size_t size);
    /** Frees what was kept of a response, after the connection was closed. */
    void freeMemory();
    void parse();
    bool acceptHead();
    /** Handles an interim response; returns whether the connection goes on. */
    bool skipInterim();
    Owner ownerOf(const HttpHead &head) const;
    /** Returns whether a response that is not the request's can be read over. */
    bool canDiscard(const HttpHead &head) const;
    void beginStray();
    void onBody(std::string_view data);
    void endSpliced();
    /** Reads over bytes of an earlier request's response; returns whether to parse on now. */
    bool readOverStray(std::size_t size);
    /** Counts what is kept of the response. Returns false if the pool's budget is exceeded. */
    bool countMemory();
    /**
        Handles the end of a body whose last bytes may be the beginning of another response: waits
        for a moment whether it goes on. Returns whether the attempt goes on or has ended.
    */
    bool settleEnd(bool isTimeOver);
    Millis idleTimeout() const;
    void newParser();
    void complete(bool isSettled = false);
    /** Ends the attempt as complete and keeps the connection for later ones. */
    void keepIdle(Millis timeout);
    void end(UpstreamEndKind kind, Reason reason);
    void onStalled();
    /** Ends the attempt unless it makes progress within this time. */
    void expectWithin(Millis span);
    bool isCutAt(SendPoint point);
    void noteStray(StrayPlace place, std::size_t bytes);

    UpstreamPool &pool_;
    std::string address_;
    TcpSocket socket_;
    State state_ = State::New;
    std::uint64_t attempt_ = 0;
    UpstreamRequest request_;
    UpstreamHooks hooks_;
    std::size_t sent_ = 0;
    /** A write was started and its completion is still to come. */
    bool isWriting_ = false;
    /** Requests that the connection has carried, the one in progress included. */
    std::size_t requests_ = 0;
    SentIdentities sentIdentities_;
    std::unique_ptr<HttpParser> parser_;
    std::optional<EmbeddedHead> embedded_;
    bool isSpliced_ = false;
    /** The response is complete, unless its last bytes turn out to be another one's. */
    bool isSettling_ = false;
    bool isHeadAccepted_ = false;
    /** Interim responses to the request in progress. */
    std::size_t interimResponses_ = 0;
    /** The response states the request's identity. */
    bool isIdentified_ = false;
    /** The response is an earlier request's, and read over. */
    bool isStray_ = false;
    /** Responses of earlier requests that were read over for the request in progress. */
    std::size_t strays_ = 0;
    std::size_t strayBytes_ = 0;
    /** By then the request's own response must begin, once another one was read over. */
    Millis ownDueAt_;
    bool isDelimitedByClose_ = false;
    bool isReading_ = false;
    bool isPaused_ = false;
    std::array<char, 16 * 1024> chunk_;
    std::string input_;
    /** What is kept here of the response. */
    ResponseShare memory_{ResponseBudget::freePartBytes};
    Millis idleSince_;
    /** The attempt is ended then, whatever progress it makes. */
    Millis endsAt_ = Millis::never();
    Deadline deadline_;
};

} // namespace cuminrail::detail
