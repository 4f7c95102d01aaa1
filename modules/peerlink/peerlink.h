#pragma once

/**
    Links between instances: websocket connections that carry authenticated frames.

    Purpose: implements PeerTransport. Connections are made on demand, limited in number, and
    closed when idle. Both ends prove that they know the shared secret before any frame is
    accepted; each frame is authenticated and numbered. Connections that stop receiving are
    replaced.

    Depends on: core, ports, membership (frame limits), websocketpp, Boost.Asio, OpenSSL.
*/

#include "peerlink/PeerLinks.h"
#include "peerlink/auth/FrameSeal.h"
#include "peerlink/auth/LinkHandshake.h"
#include "peerlink/auth/SharedSecrets.h"
