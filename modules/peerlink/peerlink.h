#pragma once

/**
    Links between instances: websocket connections that carry authenticated frames.

    Purpose: implements PeerTransport. Connections are made when there is something to send, at
    most so many, and closed when idle. Both ends prove that they know the shared secret before a
    frame is taken; each frame is authenticated and numbered. Silent connections are replaced.

    Depends on: core, ports, membership (frame bounds), websocketpp, Boost.Asio, OpenSSL.
*/

#include "peerlink/PeerLinks.h"
#include "peerlink/auth/FrameSeal.h"
#include "peerlink/auth/LinkHandshake.h"
#include "peerlink/auth/SharedSecrets.h"
