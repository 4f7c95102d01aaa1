#pragma once

#include "net/server/HttpServer.h"

#include <functional>
#include <string>

namespace cuminrail {

/** Content of the pages served to operators and to other instances. */
struct AdminPages
{
    /** Metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
    /** The whole state as JSON, without caller keys. */
    std::function<std::string()> state;
    std::function<bool()> isReady;
    /**
        The text of the configuration in force if it is newer than a version, otherwise empty.
        It contains caller keys, so only addresses of the system itself may reach this port.
    */
    std::function<std::string(std::uint64_t version)> configurationAfter;
    /** What is quarantined, as JSON. */
    std::function<std::string()> quarantines;
    /** Ends a quarantine at all instances; returns false if there is none with this id. */
    std::function<bool(const std::string &id)> liftQuarantine;
};

/**
    Serves /metrics, /state, /healthz, /readyz, /peer/configuration?after=VERSION and /quarantine.
    DELETE of /quarantine/ID ends a quarantine.
*/
class GatewayAdmin
{
public:
    GatewayAdmin(boost::asio::io_context &io, DeadlineList &deadlines,
                 const HttpServerLimits &limits, AdminPages pages);

    std::uint16_t port() const { return server_.port(); }
    void closeAll() { server_.closeAll(); }
    bool listen(const std::string &host, std::uint16_t port, Reason *lastReason);

private:
    HttpResponse handleRequest(const HttpHead &head) const;
    HttpResponse configuration(std::string_view target) const;
    HttpResponse liftQuarantine(std::string_view id) const;

    AdminPages pages_;
    HttpServer server_;
};

} // namespace cuminrail
