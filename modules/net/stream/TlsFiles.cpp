#include "net/stream/TlsFiles.h"

#include <boost/asio/ssl/stream.hpp>

#include <sys/stat.h>

namespace cuminrail {

namespace ssl = boost::asio::ssl;

namespace {

class TlsStream final : public ByteStream
{
public:
    TlsStream(TcpSocket socket, std::shared_ptr<ssl::context> context)
        : context_(std::move(context)), stream_(std::move(socket), *context_)
    { }

    void handshake(std::function<void(const boost::system::error_code &)> done) override
    {
        stream_.async_handshake(ssl::stream_base::server, std::move(done));
    }
    void readSome(boost::asio::mutable_buffer buffer, IoHandler done) override
    {
        stream_.async_read_some(buffer, std::move(done));
    }
    std::size_t tryWrite(boost::asio::const_buffer, boost::system::error_code &) override
    {
        return 0;
    }
    void writeSome(boost::asio::const_buffer buffer, IoHandler done) override
    {
        stream_.async_write_some(buffer, std::move(done));
    }
    TcpSocket &socket() override { return stream_.next_layer(); }

private:
    std::shared_ptr<ssl::context> context_;
    ssl::stream<TcpSocket> stream_;
};

std::string fileStamp(const std::string &path)
{
    struct stat status
    { };
    if (stat(path.c_str(), &status) != 0)
        return "missing";
    return std::to_string(status.st_ino) + "/" + std::to_string(status.st_size) + "/"
        + std::to_string(status.st_mtim.tv_sec) + "." + std::to_string(status.st_mtim.tv_nsec);
}

} // namespace

TlsFiles::TlsFiles(std::string certificateFile, std::string keyFile)
    : certificateFile_(std::move(certificateFile)), keyFile_(std::move(keyFile))
{ }

std::string TlsFiles::fingerprint() const
{
    return fileStamp(certificateFile_) + " " + fileStamp(keyFile_);
}

bool TlsFiles::load(Reason *lastReason)
{
    const std::string before = fingerprint();
    auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
    boost::system::error_code error;
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1
                             | ssl::context::no_tlsv1_1,
                         error);
    context->use_certificate_chain_file(certificateFile_, error);
    if (error)
        return fail(lastReason, certificateFile_, error.message());
    context->use_private_key_file(keyFile_, ssl::context::pem, error);
    if (error)
        return fail(lastReason, keyFile_, error.message());
    // Certificate and key are replaced one after the other. In between they do not match, and every
    // handshake would fail, so the previous pair stays in use until both files are new.
    if (SSL_CTX_check_private_key(context->native_handle()) != 1)
        return fail(lastReason, keyFile_, "is not the key of " + certificateFile_);
    const std::lock_guard<std::mutex> lock(mutex_);
    context_ = std::move(context);
    loadedFingerprint_ = before;
    return true;
}

bool TlsFiles::reloadIfChanged(Reason *lastReason)
{
    return fingerprint() != loadedFingerprint_ && load(lastReason);
}

std::unique_ptr<ByteStream> TlsFiles::makeStream(TcpSocket socket) const
{
    std::shared_ptr<ssl::context> context;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        context = context_;
    }
    return std::make_unique<TlsStream>(std::move(socket), std::move(context));
}

} // namespace cuminrail
