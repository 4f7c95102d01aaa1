#pragma once

#include "membership/messages/CborArrayReader.h"
#include "peerlink/auth/FrameSeal.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace cuminrail::detail {

/**
    Common configuration of both ends, so that they share one connection type.

    Based on the client's, as it has the random numbers with which a client must mask its frames.
*/
struct PeerWebsocketConfig : public websocketpp::config::asio_client
{
    // NOLINTBEGIN(readability-identifier-naming): the names are the library's.
    static const bool enable_multithreading = false;
    static const std::size_t max_message_size = FrameLimits::bytes + FrameSeal::overhead;
    static const std::size_t max_http_body_size = 1024;
    static const std::size_t connection_read_buffer_size = 4096;
    static const bool silent_close = true;
    static const bool drop_on_protocol_error = true;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    // NOLINTEND(readability-identifier-naming)
};

using PeerServer = websocketpp::server<PeerWebsocketConfig>;
using PeerClient = websocketpp::client<PeerWebsocketConfig>;
using PeerConnection = PeerServer::connection_ptr;

} // namespace cuminrail::detail
