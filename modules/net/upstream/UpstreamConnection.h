#pragma once

#include "net/http/HttpParser.h"
#include "net/upstream/UpstreamPool.h"

#include <array>
#include <optional>

namespace cuminrail::detail {

/** A connection to an upstream together with the attempt that it serves at the moment. */
class UpstreamConnection final : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(UpstreamPool &pool, std::string address);
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /** Takes on an attempt: connects first unless the connection is open. */
    void begin(UpstreamRequest request, UpstreamHooks hooks);
    /** Closes without a report. */
    void close();
    const std::string &address() const { return address_; }

    void pause() { isPaused_ = true; }
    void resume();
    void cancel();
    Verdict verdictSoFar() const;
    /** Returns the number of the attempt in progress; it rises when an attempt ends. */
    std::uint64_t attempt() const { return attempt_; }
    /** Returns true if an idle connection has ended or holds bytes that nobody asked for. */
    bool isStale();
    /** Returns since when the connection has been idle; only of use while it is. */
    Millis idleSince() const { return idleSince_; }

private:
    enum class State : std::uint8_t { New, Connecting, Sending, Receiving, Idle, Closed };

    void connect();
    void onConnected(const boost::system::error_code &error);
    void applySocketOptions();
    void send();
    void sendRest(std::size_t atMost);
    void onSent(const boost::system::error_code &error, std::size_t size);
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    bool acceptHead();
    Millis idleTime() const;
    void newParser();
    void complete();
    /** Ends the attempt as complete and leaves the connection to later ones. */
    void keepIdle(Millis keepFor);
    void end(UpstreamEndKind kind, Reason reason);
    void onStalled();
    bool isCutAt(SendPoint point);

    UpstreamPool &pool_;
    std::string address_;
    TcpSocket socket_;
    State state_ = State::New;
    std::uint64_t attempt_ = 0;
    UpstreamRequest request_;
    UpstreamHooks hooks_;
    std::size_t sent_ = 0;
    std::unique_ptr<HttpParser> parser_;
    bool isHeadAccepted_ = false;
    bool isReading_ = false;
    bool isPaused_ = false;
    std::array<char, 16 * 1024> chunk_;
    std::string input_;
    Millis idleSince_;
    Deadline deadline_;
};

} // namespace cuminrail::detail
