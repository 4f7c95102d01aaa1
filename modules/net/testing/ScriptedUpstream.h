#pragma once

#include "net/testing/TestSocket.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cuminrail::testing {

/** One request as an upstream received it. */
struct ReceivedRequest
{
    std::size_t connection = 0;
    std::string text;

    /** Returns a header's value, or an empty text. */
    std::string header(const std::string &name) const
    {
        const auto begin = text.find("\r\n" + name + ": ");
        if (begin == std::string::npos)
            return {};
        const auto value = begin + name.size() + 4;
        return text.substr(value, text.find("\r\n", value) - value);
    }

    bool startsWith(const std::string &start) const { return text.rfind(start, 0) == 0; }
};

/**
    An upstream that sends exactly the bytes a test scripts, and records received requests.

    The script runs once for each connection, on a thread of its own.
*/
class ScriptedUpstream
{
public:
    /** A script's access to its connection. */
    class Connection
    {
    public:
        Connection(ScriptedUpstream &upstream, TestSocket opened, std::size_t ordinal)
            : socket(std::move(opened)), number(ordinal), upstream_(upstream)
        { }

        /** Reads and records the next request. Its text is empty when the connection ended. */
        ReceivedRequest read()
        {
            ReceivedRequest request{number, socket.readMessage()};
            if (!request.text.empty())
                upstream_.record(request);
            return request;
        }

        TestSocket socket;
        const std::size_t number;

    private:
        ScriptedUpstream &upstream_;
    };

    using Script = std::function<void(Connection &)>;

    /** On the given port, or on any free one. */
    explicit ScriptedUpstream(Script script, std::uint16_t port = 0) : script_(std::move(script))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int isOn = port != 0 ? 1 : 0;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        static_cast<void>(
            ::bind(listener_, reinterpret_cast<sockaddr *>(&address), sizeof address));
        ::listen(listener_, 64);
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { acceptAll(); });
    }

    ~ScriptedUpstream()
    {
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const auto &[number, handle] : handles_)
                ::shutdown(handle, SHUT_RDWR);
        }
        for (auto &[number, thread] : threads_)
            thread.join();
    }

    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    /** Accepts no further connections; open ones continue. */
    void stopListening() { ::shutdown(listener_, SHUT_RDWR); }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    std::vector<ReceivedRequest> received() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return received_;
    }

    std::size_t connections() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return connections_;
    }

    /** Waits for this many requests. Returns false on time-out. */
    bool waitForRequests(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(testTimeoutSeconds),
                                 [&] { return received_.size() >= count; });
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int handle = ::accept(listener_, nullptr, nullptr);
            if (handle < 0)
                return;
            joinFinishedThreads();
            const std::lock_guard<std::mutex> lock(mutex_);
            const std::size_t number = ++connections_;
            const int watched = ::dup(handle);
            handles_[number] = watched;
            threads_[number] = std::thread([this, handle, watched, number] {
                {
                    Connection connection(*this, TestSocket(handle), number);
                    script_(connection);
                }
                const std::lock_guard<std::mutex> locked(mutex_);
                handles_.erase(number);
                finishedConnections_.push_back(number);
                ::close(watched);
            });
        }
    }

    void joinFinishedThreads()
    {
        std::vector<std::thread> ended;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const std::size_t number : finishedConnections_) {
                ended.push_back(std::move(threads_[number]));
                threads_.erase(number);
            }
            finishedConnections_.clear();
        }
        for (std::thread &thread : ended)
            thread.join();
    }

    void record(const ReceivedRequest &request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        received_.push_back(request);
        changed_.notify_all();
    }

    Script script_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t connections_ = 0;
    std::vector<ReceivedRequest> received_;
    std::map<std::size_t, int> handles_;
    std::map<std::size_t, std::thread> threads_;
    std::vector<std::size_t> finishedConnections_;
    std::thread acceptor_;
};

/** An event that one thread sets and a test waits for. */
class Signal
{
public:
    void set()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isSet_ = true;
        changed_.notify_all();
    }

    /** Returns false when it is not set within the tests' time-out. */
    bool wait()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(testTimeoutSeconds),
                                 [this] { return isSet_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isSet_ = false;
};

/** Returns a complete response with a length that echoes an attempt's identity. */
inline std::string plainResponse(const std::string &requestId, const std::string &body,
                                 const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nX-Request-Id: " + requestId
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Returns the response head of an event stream. */
inline std::string streamHead(const std::string &requestId)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + requestId
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/** Returns a chunk of a chunked body; an empty one ends it. */
inline std::string chunk(const std::string &data)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

/** Returns a numbered event. */
inline std::string event(std::uint64_t number, const std::string &data)
{
    return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

} // namespace cuminrail::testing
