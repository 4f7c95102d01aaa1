#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace cuminrail {

/** Called with the error, if any, and the number of bytes moved. */
using IoHandler = std::function<void(const boost::system::error_code &, std::size_t)>;

/** A socket bound to its event loop's concrete type, which spares Asio a virtual call. */
using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

/** An accepted connection's bytes, plain or through TLS. One read and one write at a time. */
class ByteStream
{
public:
    virtual ~ByteStream() = default;
    /** Does what must precede the first byte; plain connections have nothing to do. */
    virtual void handshake(std::function<void(const boost::system::error_code &)> done) = 0;
    virtual void readSome(boost::asio::mutable_buffer buffer, IoHandler done) = 0;
    /**
        Writes what the socket takes at once, and returns how much that was; 0 when it takes
        nothing now, or when the stream cannot write without waiting. Spares the event loop a
        round for the many answers that fit.
    */
    virtual std::size_t tryWrite(boost::asio::const_buffer buffer,
                                 boost::system::error_code &error) = 0;
    virtual void writeSome(boost::asio::const_buffer buffer, IoHandler done) = 0;
    virtual TcpSocket &socket() = 0;
};

/** Returns a stream that passes bytes as they are. */
std::unique_ptr<ByteStream> makePlainStream(TcpSocket socket);

} // namespace cuminrail
