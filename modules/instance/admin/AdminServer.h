#pragma once

#include "instance/control/ControlPlane.h"
#include "instance/request/RequestWorker.h"
#include "net/server/HttpServer.h"

#include <functional>
#include <memory>
#include <vector>

namespace cuminrail {

/** The operators' address: /healthz, /readyz, /metrics, /state, /drain. On the control thread. */
class AdminServer
{
public:
    AdminServer(ControlPlane &control, std::vector<std::unique_ptr<RequestWorker>> &workers,
                std::function<void()> drain);
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    bool listen(const ListenAddress &address, Reason *lastReason);
    /** After the control thread has ended: drops all connections. */
    void closeAll() { server_.closeAll(); }
    std::uint16_t port() const { return server_.port(); }

private:
    HttpResponse answer(const HttpHead &head);
    HttpResponse readiness() const;
    HttpResponse metrics() const;
    HttpResponse state() const;

    ControlPlane &control_;
    std::vector<std::unique_ptr<RequestWorker>> &workers_;
    std::function<void()> drain_;
    HttpServer server_;
};

} // namespace cuminrail
