#pragma once

#include "instance/control/ControlPlane.h"
#include "instance/request/RequestWorker.h"
#include "net/server/HttpServer.h"

#include <functional>
#include <memory>
#include <vector>

namespace cuminrail {

/** The HTTP server for operators: /healthz, /readyz, /metrics, /state and /drain. Runs on the
    control thread. */
class AdminServer
{
public:
    AdminServer(ControlPlane &control, std::vector<std::unique_ptr<RequestWorker>> &workers,
                std::function<void()> drain);
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    bool listen(const ListenAddress &address, Reason *lastReason);
    /** Closes all connections. Only after the control thread has ended. */
    void closeAll() { server_.closeAll(); }
    std::uint16_t port() const { return server_.port(); }

private:
    HttpResponse handleRequest(const HttpHead &head);
    HttpResponse readiness() const;
    HttpResponse metrics() const;
    HttpResponse state() const;

    ControlPlane &control_;
    std::vector<std::unique_ptr<RequestWorker>> &workers_;
    std::function<void()> drain_;
    HttpServer server_;
};

} // namespace cuminrail
