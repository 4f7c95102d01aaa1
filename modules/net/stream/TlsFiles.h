#pragma once

#include "core/errors/Reason.h"
#include "net/stream/ByteStream.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <mutex>
#include <string>

namespace cuminrail {

/**
    The certificate and key that callers' TLS connections are served with, read from files.

    A new pair of files takes effect for new connections; open ones keep what they began with.
    Safe from any thread.
*/
class TlsFiles
{
public:
    TlsFiles(std::string certificateFile, std::string keyFile);
    TlsFiles(const TlsFiles &) = delete;
    TlsFiles &operator=(const TlsFiles &) = delete;

    /** Reads both files. On failure the former pair stays in use. */
    bool load(Reason *lastReason);

    /** Reads the files again if either has changed. Returns true when a new pair took effect. */
    bool reloadIfChanged(Reason *lastReason);

    /** Returns a stream that speaks TLS as a server. load() must have succeeded before. */
    std::unique_ptr<ByteStream> makeStream(TcpSocket socket) const;

private:
    std::string fingerprint() const;

    std::string certificateFile_;
    std::string keyFile_;
    std::string loadedFingerprint_;
    mutable std::mutex mutex_;
    std::shared_ptr<boost::asio::ssl::context> context_;
};

} // namespace cuminrail
