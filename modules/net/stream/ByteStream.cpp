#include "net/stream/ByteStream.h"

namespace cuminrail {

namespace {

class PlainStream final : public ByteStream
{
public:
    explicit PlainStream(TcpSocket socket) : socket_(std::move(socket))
    {
        boost::system::error_code ignored;
        socket_.non_blocking(true, ignored);
    }

    void handshake(std::function<void(const boost::system::error_code &)> done) override
    {
        done({});
    }
    void readSome(boost::asio::mutable_buffer buffer, IoHandler done) override
    {
        socket_.async_read_some(buffer, std::move(done));
    }
    std::size_t tryWrite(boost::asio::const_buffer buffer,
                         boost::system::error_code &error) override
    {
        const std::size_t size = socket_.write_some(buffer, error);
        if (error == boost::asio::error::would_block)
            error = {};
        return size;
    }
    void writeSome(boost::asio::const_buffer buffer, IoHandler done) override
    {
        socket_.async_write_some(buffer, std::move(done));
    }
    TcpSocket &socket() override { return socket_; }

private:
    TcpSocket socket_;
};

} // namespace

std::unique_ptr<ByteStream> makePlainStream(TcpSocket socket)
{
    return std::make_unique<PlainStream>(std::move(socket));
}

} // namespace cuminrail
