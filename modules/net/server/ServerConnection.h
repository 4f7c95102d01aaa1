#pragma once

#include "net/server/HttpServer.h"

#include <array>

namespace cuminrail::detail {

/**
    One accepted connection: reads a request, waits for its answer, writes it, starts again.

    While a request is in progress it goes on reading, within a small bound, because the end of
    the connection is how a caller's leaving shows.
*/
class ServerConnection final : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServer &server, std::unique_ptr<ByteStream> stream);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();
    /** Ends the connection at once; a request in progress learns that its caller left. */
    void close();
    bool isBusy() const { return state_ != State::Idle && state_ != State::Closed; }
    /** Answers a connection over the limit, and closes it. */
    void refuse(const HttpAnswer &answer);

    // What the exchange of the request in progress asks for.
    void respond(const HttpAnswer &answer);
    void beginStream(int status, const std::vector<HttpHeader> &headers);
    void write(std::string_view data);
    void finish();
    void abort();
    void finishCut(std::string_view lastWords);
    bool isCongested() const;
    void onWritable(std::function<void()> hook) { onWritable_ = std::move(hook); }
    void onCallerLeft(std::function<void()> hook) { onCallerLeft_ = std::move(hook); }

    /** Returns the number of the current request on this connection. */
    std::uint64_t requestNumber() const { return requestNumber_; }

private:
    enum class State : std::uint8_t { Idle, Reading, Answering, Flushing, Lingering, Closed };

    void beginRequest();
    void readMore();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    void judgeHead();
    void requestComplete();
    void problemAnswer(const HttpProblem &problem);
    void refuseAndClose(const HttpAnswer &answer);
    void appendHead(int status, const std::vector<HttpHeader> &headers);
    void flush();
    void onWritten(const boost::system::error_code &error, std::size_t size);
    boost::asio::const_buffer unsent() const;
    void takeQueue();
    void failLater();
    void allWritten();
    void answerFlushed();
    void linger();
    void extendReadDeadline(std::size_t received);
    void onReadStalled();
    void dropHooks();

    HttpServer &server_;
    std::unique_ptr<ByteStream> stream_;
    State state_ = State::Idle;
    std::uint64_t requestNumber_ = 0;
    std::unique_ptr<HttpParser> parser_;
    bool isHeadMethod_ = false;
    int version_ = 11;
    /** What one read may fill; moved to input_ at once, as parsing may go on during a read. */
    std::array<char, 16 * 1024> chunk_;
    std::string input_;
    std::string body_;
    BodyReservation reservation_;
    bool isOverBudget_ = false;
    /** Being written, from written_ on, and waiting for that. */
    std::string output_;
    std::size_t written_ = 0;
    std::string queue_;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isHeadAccepted_ = false;
    bool isChunked_ = false;
    bool keepsOpen_ = true;
    std::size_t lingered_ = 0;
    Millis bodyStarted_;
    std::int64_t bodyReceived_ = 0;
    Deadline readDeadline_;
    Deadline writeDeadline_;
    std::function<void()> onWritable_;
    std::function<void()> onCallerLeft_;
};

} // namespace cuminrail::detail
