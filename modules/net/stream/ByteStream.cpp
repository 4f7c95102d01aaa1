#include "net/stream/ByteStream.h"

namespace cuminrail {

namespace {

class PlainStream final : public ByteStream
{
public:
    explicit PlainStream(TcpSocket socket) : socket_(std::move(socket)) { }

    void handshake(std::function<void(const boost::system::error_code &)> done) override
    {
        done({});
    }
    void readSome(boost::asio::mutable_buffer buffer, IoHandler done) override
    {
        socket_.async_read_some(buffer, std::move(done));
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
