#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <utility>

namespace cuminrail::testing {

/** Time-out of tests for events that normally happen much sooner. */
inline constexpr int testTimeoutSeconds = 20;

/** A blocking loopback connection for tests that control each byte. */
class TestSocket
{
public:
    TestSocket() = default;
    explicit TestSocket(int handle) : handle_(handle) { setTimeout(testTimeoutSeconds); }
    ~TestSocket() { close(); }
    TestSocket(TestSocket &&other) noexcept
        : handle_(std::exchange(other.handle_, -1)), input_(std::move(other.input_))
    { }
    TestSocket &operator=(TestSocket &&other) noexcept
    {
        std::swap(handle_, other.handle_);
        std::swap(input_, other.input_);
        return *this;
    }
    TestSocket(const TestSocket &) = delete;
    TestSocket &operator=(const TestSocket &) = delete;

    static TestSocket connectTo(std::uint16_t port, int receiveBufferBytes = 0)
    {
        TestSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
        if (receiveBufferBytes > 0)
            setsockopt(socket.handle_, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                       sizeof receiveBufferBytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket.handle_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
            socket.close();
        return socket;
    }

    bool isOpen() const { return handle_ >= 0; }
    int handle() const { return handle_; }

    /** Returns false once the other end no longer accepts bytes. */
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size =
                ::send(handle_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /** Reads one message: head, then body by Content-Length or chunks. Empty at the end. */
    std::string readMessage()
    {
        if (!readUntil("\r\n\r\n"))
            return consume(input_.size());
        const std::size_t head = input_.find("\r\n\r\n") + 4;
        const std::string headText = input_.substr(0, head);
        const auto length = headText.find("Content-Length: ");
        if (headText.find("Transfer-Encoding: chunked") != std::string::npos) {
            while (input_.find("0\r\n\r\n", head) == std::string::npos && readSome()) { }
            const auto end = input_.find("0\r\n\r\n", head);
            return consume(end == std::string::npos ? input_.size() : end + 5);
        }
        std::size_t body = 0;
        if (length != std::string::npos)
            body = std::strtoul(headText.c_str() + length + 16, nullptr, 10);
        while (input_.size() < head + body && readSome()) { }
        return consume(head + body);
    }

    /** Reads until the text is received. Returns false when the connection ends before. */
    bool readUntil(const std::string &text)
    {
        while (input_.find(text) == std::string::npos) {
            if (!readSome())
                return false;
        }
        return true;
    }

    /** Reads until the other end closes or resets; returns all input. Throws on time-out. */
    std::string readToEnd()
    {
        while (readSome()) { }
        if (hasTimedOut_)
            throw std::runtime_error("the other end did not close");
        return consume(input_.size());
    }

    /** Returns input that was read but not yet returned. */
    const std::string &input() const { return input_; }

    /** Removes the first bytes of the input and returns them. */
    std::string take(std::size_t size) { return consume(size); }

    /** Returns true when the connection ended with a reset. */
    bool wasReset() const { return wasReset_; }

    /** Closes with a TCP reset. */
    void reset()
    {
        const linger hard{1, 0};
        setsockopt(handle_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    void close()
    {
        if (handle_ >= 0)
            ::close(std::exchange(handle_, -1));
    }

    void setTimeout(int seconds)
    {
        const timeval limit{seconds, 0};
        setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(handle_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    }

    /** Reads what has arrived, or waits for it. Returns false at the end and on time-out. */
    bool readSome()
    {
        char buffer[16384];
        const auto size = ::recv(handle_, buffer, sizeof buffer, 0);
        hasTimedOut_ = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        wasReset_ = size < 0 && !hasTimedOut_;
        if (size <= 0)
            return false;
        input_.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

private:
    std::string consume(std::size_t size)
    {
        std::string taken = input_.substr(0, size);
        input_.erase(0, size);
        return taken;
    }

    int handle_ = -1;
    bool wasReset_ = false;
    bool hasTimedOut_ = false;
    std::string input_;
};

} // namespace cuminrail::testing
