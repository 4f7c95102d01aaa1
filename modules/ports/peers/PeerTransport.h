#pragma once

#include <functional>
#include <string>

namespace cuminrail {

/** Where another instance listens for peers: "10.0.0.7:7100". */
using PeerAddress = std::string;

/**
    Sends messages to other instances: best effort, unordered between connections, at most 64 KiB.

    What arrives is handed to the receiving module with the sender's claimed address; the link
    below has checked that the sender knows the shared secret.
*/
struct PeerTransport
{
    std::function<void(const PeerAddress &to, std::string frame)> send;
};

} // namespace cuminrail
