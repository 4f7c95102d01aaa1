#pragma once

#include "core/errors/Reason.h"
#include "net/stream/ByteStream.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <mutex>
#include <string>

namespace cuminrail {

/**
    Certificate and key for callers' TLS connections, read from files.

    A new pair of files takes effect for new connections; open ones keep the pair that they
    started with. Thread-safe.
*/
class TlsFiles
{
public:
    TlsFiles(std::string certificateFile, std::string keyFile);
    TlsFiles(const TlsFiles &) = delete;
    TlsFiles &operator=(const TlsFiles &) = delete;

    /** Reads both files. On failure the previous pair stays in use. */
    bool load(Reason *lastReason);

    /** Reloads the files if either has changed. Returns true when a new pair took effect. */
    bool reloadIfChanged(Reason *lastReason);

    /** Returns a server-side TLS stream. load() must have succeeded before. */
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
