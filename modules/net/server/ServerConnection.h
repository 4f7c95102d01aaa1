#pragma once

#include "net/server/HttpServer.h"

#include <array>
#include <list>

namespace cuminrail::detail {

/**
    One accepted connection: reads a request, waits for its response, writes it, and repeats.

    While a request is in progress it continues to read, up to a small limit, because only a read
    shows that the caller has closed the connection.
*/
class ServerConnection final : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServer &server, std::unique_ptr<ByteStream> stream);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();
    /** Closes the connection at once; a request in progress is notified. */
    void close();
    bool isBusy() const { return state_ != State::Idle && state_ != State::Closed; }
    /** Refuses a request that is not whole, closes the connection otherwise. */
    void evict();
    /** Returns since when the connection has waited for its caller. */
    Millis waitingSince() const { return waitingSince_; }
    std::uint64_t heldBytes() const { return requestMemory_.bytes() + buffers_.bytes(); }
    /** Returns the bytes of a response after which the connection is closed. */
    static std::string closingResponse(const HttpResponse &response);

    // Called by the exchange of the request in progress.
    void respond(const HttpResponse &response);
    void beginStream(int status, const std::vector<HttpHeader> &headers);
    void write(std::string_view data);
    void finish();
    void abort();
    void finishTruncated(std::string_view finalData);
    bool isCongested() const;
    void onWritable(std::function<void()> hook) { onWritable_ = std::move(hook); }
    void onCallerDisconnected(std::function<void()> hook)
    {
        onCallerDisconnected_ = std::move(hook);
    }

    /** Returns the sequence number of the current request on this connection. */
    std::uint64_t requestNumber() const { return requestNumber_; }
    /** Reports a call for a request that is over. A next request in progress is not touched. */
    void rejectLateCall(const char *call);

private:
    enum class State : std::uint8_t { Idle, Reading, Responding, Flushing, Lingering, Closed };

    void beginRequest();
    void readMore();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    void checkHead();
    void onRequestComplete();
    void rejectMalformed(const HttpProblem &problem);
    /** Returns true if the request was refused, as callers hold too much memory. */
    bool rejectForMemory();
    /**
        Whether the request alone takes most of the memory for all, while others hold little. The
        longest request inside the limits can be longer than that memory.
    */
    bool isServedAlone();
    /** Counts what is held now. */
    void countMemory();
    /** Whether the caller, not the program, has to go on. */
    bool waitsForCaller() const;
    /** The caller went on, or is not waited for any more. */
    void noteWaiting();
    void rejectAndClose(const HttpResponse &response);
    void appendHead(int status, const std::vector<HttpHeader> &headers);
    /**
        Returns whether a call is in the response's order; breaks the response off if not.

        @param needsOpenStream  the call continues a stream; otherwise it begins a response
    */
    bool isInOrder(bool needsOpenStream, const char *call);
    void reportOutOfOrder(const char *call);
    void endResponse();
    /** Closes with a TCP reset, which no caller can mistake for the end of a response. */
    void reset();
    void setResetsOnClose(bool resets);
    void flush();
    void onWritten(const boost::system::error_code &error, std::size_t size);
    boost::asio::const_buffer unsent() const;
    void moveQueueToOutput();
    void closeLater();
    void onAllWritten();
    void onResponseFlushed();
    void linger();
    void extendReadDeadline();
    void onReadStalled();
    void clearHooks();

    HttpServer &server_;
    std::unique_ptr<ByteStream> stream_;
    State state_ = State::Idle;
    std::uint64_t requestNumber_ = 0;
    std::unique_ptr<HttpParser> parser_;
    bool isHeadMethod_ = false;
    int version_ = 11;
    /** Buffer of one read; copied to input_ at once, as parsing may continue during a read. */
    std::array<char, 16 * 1024> chunk_;
    std::string input_;
    std::string body_;
    /** Head and body of the request that is read; goes with the request. */
    HeldMemory requestMemory_;
    /** Input and output buffers. */
    HeldMemory buffers_;
    std::uint64_t headMemory_ = 0;
    /** Output being written, from offset written_; queue_ holds the output after it. */
    std::string output_;
    std::size_t written_ = 0;
    std::string queue_;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isHeadAccepted_ = false;
    /** The head of the current request's response was sent, and its end was not. */
    bool isStreamOpen_ = false;
    /** The open stream is a response that has no body, so bytes after its head belong to no one. */
    bool isBodiless_ = false;
    bool isChunked_ = false;
    bool isKeepAlive_ = true;
    std::size_t lingeredBytes_ = 0;
    Millis bodyStartedAt_;
    Millis waitingSince_;
    /** This connection's place in the server's list, or in none. */
    std::list<ServerConnection *> place_;
    std::list<ServerConnection *>::iterator position_;
    bool isListed_ = false;
    /** The program was told to wait before it writes more. */
    mutable bool isAwaited_ = false;
    Deadline readDeadline_;
    Deadline writeDeadline_;
    std::function<void()> onWritable_;
    std::function<void()> onCallerDisconnected_;
};

} // namespace cuminrail::detail
