#pragma once

#include "net/server/HttpServer.h"

#include <functional>
#include <string>

namespace cuminrail {

/** What operators and other instances can ask of an instance. */
struct AdminPages
{
    /** Prometheus' text format. */
    std::function<std::string()> metrics;
    /** The whole state as JSON. Holds no caller key. */
    std::function<std::string()> state;
    std::function<bool()> isReady;
    /**
        The text of the configuration in force if it is newer than a version, else nothing.
        It holds caller keys: only addresses of the system itself may reach this port.
    */
    std::function<std::string(std::uint64_t version)> configurationAfter;
};

/** Serves /metrics, /state, /healthz, /readyz and /peer/configuration?after=VERSION. */
class GatewayAdmin
{
public:
    GatewayAdmin(boost::asio::io_context &io, DeadlineList &deadlines, AdminPages pages);

    std::uint16_t port() const { return server_.port(); }
    void closeAll() { server_.closeAll(); }
    bool listen(const std::string &host, std::uint16_t port, Reason *lastReason);

private:
    HttpAnswer answer(const HttpHead &head) const;
    HttpAnswer configuration(std::string_view target) const;

    AdminPages pages_;
    HttpServer server_;
};

} // namespace cuminrail
