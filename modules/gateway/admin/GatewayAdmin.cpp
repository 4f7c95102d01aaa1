#include "gateway/admin/GatewayAdmin.h"

#include <charconv>

namespace cuminrail {

namespace {

constexpr std::string_view quarantinePrefix = "/quarantine/";

HttpResponse textAnswer(int status, std::string body, const char *type = "text/plain")
{
    return {status, {{"Content-Type", type}}, std::move(body)};
}

} // namespace

GatewayAdmin::GatewayAdmin(boost::asio::io_context &io, DeadlineList &deadlines,
                           const HttpServerLimits &limits, AdminPages pages)
    : pages_(std::move(pages)), server_(io, deadlines, limits,
                                        HttpServerHooks{
                                            nullptr,
                                            [this](const std::shared_ptr<HttpExchange> &exchange) {
                                                exchange->respond(handleRequest(exchange->head()));
                                            },
                                            [](int status, const Reason &reason) {
                                                return textAnswer(status, reason.toString() + "\n");
                                            },
                                        },
                                        std::make_shared<ServerLoad>())
{ }

bool GatewayAdmin::listen(const std::string &host, std::uint16_t port, Reason *lastReason)
{
    return server_.listen(host, port, false, lastReason);
}

HttpResponse GatewayAdmin::handleRequest(const HttpHead &head) const
{
    const std::string_view path = head.path();
    if (head.method == "DELETE" && path.rfind(quarantinePrefix, 0) == 0)
        return liftQuarantine(path.substr(quarantinePrefix.size()));
    if (head.method != "GET" && head.method != "HEAD")
        return textAnswer(405, "only GET is allowed here\n");
    if (path == "/healthz")
        return textAnswer(200, "healthy\n");
    if (path == "/readyz")
        return pages_.isReady() ? textAnswer(200, "ready\n") : textAnswer(503, "not ready\n");
    if (path == "/metrics")
        return textAnswer(200, pages_.metrics(), "text/plain; version=0.0.4");
    if (path == "/state")
        return textAnswer(200, pages_.state(), "application/json");
    if (path == "/quarantine")
        return textAnswer(200, pages_.quarantines(), "application/json");
    if (path == "/peer/configuration")
        return configuration(head.target);
    return textAnswer(404, "no such page\n");
}

HttpResponse GatewayAdmin::liftQuarantine(std::string_view id) const
{
    return pages_.liftQuarantine(std::string(id))
        ? textAnswer(200, "lifted at all instances\n")
        : textAnswer(404, "no such content is quarantined here\n");
}

HttpResponse GatewayAdmin::configuration(std::string_view target) const
{
    constexpr std::string_view name = "?after=";
    const auto at = target.find(name);
    std::uint64_t version = 0;
    if (at != std::string_view::npos)
        std::from_chars(target.data() + at + name.size(), target.data() + target.size(), version);
    std::string text = pages_.configurationAfter(version);
    if (text.empty())
        return HttpResponse{204, {}, {}};
    return textAnswer(200, std::move(text), "application/json");
}

} // namespace cuminrail
