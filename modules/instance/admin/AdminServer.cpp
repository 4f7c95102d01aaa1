#include "instance/admin/AdminServer.h"

#include "instance/admin/MetricsPage.h"
#include "instance/admin/StatePage.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

namespace {

constexpr std::uint32_t maxConnections = 64;
constexpr std::uint64_t maxHeldBytes = std::uint64_t{16} * 1024 * 1024;

HttpResponse jsonResponse(int status, const nlohmann::json &value)
{
    return {status, {{"Content-Type", "application/json"}}, value.dump() + "\n"};
}

HttpResponse errorResponse(int status, const std::string &message)
{
    return jsonResponse(status, {{"error", {{"message", message}}}});
}

} // namespace

AdminServer::AdminServer(ControlPlane &control,
                         std::vector<std::unique_ptr<RequestWorker>> &workers,
                         std::function<void()> drain)
    : control_(control), workers_(workers), drain_(std::move(drain)),
      server_(control.thread().io(), control.thread().deadlines(),
              HttpServerLimits::forPages(maxConnections, maxHeldBytes),
              HttpServerHooks{
                  nullptr,
                  [this](const std::shared_ptr<HttpExchange> &exchange) {
                      exchange->respond(handleRequest(exchange->head()));
                  },
                  [](int status, const Reason &reason) {
                      return errorResponse(status, reason.toString());
                  },
              },
              std::make_shared<ServerLoad>())
{ }

bool AdminServer::listen(const ListenAddress &address, Reason *lastReason)
{
    return server_.listen(address.address, address.port, false, lastReason);
}

HttpResponse AdminServer::handleRequest(const HttpHead &head)
{
    const std::string_view path = head.path();
    if (path == "/drain") {
        if (head.method != "POST")
            return errorResponse(405, "only POST is allowed here");
        drain_();
        return jsonResponse(202, {{"draining", true}});
    }
    if (head.method != "GET" && head.method != "HEAD")
        return errorResponse(405, "only GET is allowed here");
    if (path == "/healthz")
        return jsonResponse(200, {{"healthy", true}});
    if (path == "/readyz")
        return readiness();
    if (path == "/metrics")
        return metrics();
    if (path == "/state")
        return state();
    return errorResponse(404, "there is nothing at this path");
}

HttpResponse AdminServer::readiness() const
{
    const auto missing = control_.missingForReadiness();
    return jsonResponse(missing.empty() ? 200 : 503,
                        {{"ready", missing.empty()}, {"missing", missing}});
}

HttpResponse AdminServer::metrics() const
{
    std::vector<const RequestCounters *> counters;
    for (const auto &worker : workers_)
        counters.push_back(&worker->counters());
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
            metricsPage(counters, control_.context().config)};
}

HttpResponse AdminServer::state() const
{
    nlohmann::json page = statePage(control_.context(), workers_);
    page.update(control_.describe());
    return jsonResponse(200, page);
}

} // namespace cuminrail
