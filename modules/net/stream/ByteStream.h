#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace cuminrail {

/** Called with the error, if any, and the number of bytes transferred. */
using IoHandler = std::function<void(const boost::system::error_code &, std::size_t)>;

/** A socket with the event loop's concrete executor type, which saves Asio a virtual call. */
using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

/** The byte stream of an accepted connection, plain or TLS. One read and one write at a time. */
class ByteStream
{
public:
    virtual ~ByteStream() = default;
    /** Performs the TLS handshake; completes at once on plain connections. */
    virtual void handshake(std::function<void(const boost::system::error_code &)> done) = 0;
    virtual void readSome(boost::asio::mutable_buffer buffer, IoHandler done) = 0;
    /**
        Writes without blocking and returns the number of bytes written; 0 when the socket buffer
        is full or the stream has no synchronous write. Saves a pass through the event loop for
        the many responses that fit the socket buffer.
    */
    virtual std::size_t tryWrite(boost::asio::const_buffer buffer,
                                 boost::system::error_code &error) = 0;
    virtual void writeSome(boost::asio::const_buffer buffer, IoHandler done) = 0;
    virtual TcpSocket &socket() = 0;
};

/** Returns an unencrypted stream. */
std::unique_ptr<ByteStream> makePlainStream(TcpSocket socket);

} // namespace cuminrail
