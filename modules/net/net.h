#pragma once

/**
    HTTP/1.1 on sockets: the server towards callers and operators, the client towards upstreams.

    Purpose: parse requests and responses strictly, limit every buffer and every wait, never reuse a
    connection in a doubtful state, and report for each sent request whether it may have run.

    Depends on: core, ports, runtime, Boost.Asio, Boost.Beast, OpenSSL.
*/

#include "net/http/HttpHead.h"
#include "net/http/HttpParser.h"
#include "net/server/HttpExchange.h"
#include "net/server/HttpServer.h"
#include "net/stream/TlsFiles.h"
#include "net/upstream/UpstreamPool.h"
