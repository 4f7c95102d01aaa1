#include "standin/platform/StandinPlatform.h"

#include <algorithm>
#include <cstdlib>

namespace cuminrail::standin {

namespace {

constexpr const char objectsPrefix[] = "/objects/";
constexpr const char fleetPrefix[] = "/fleet/";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

nlohmann::json toJson(const StoreObject &object)
{
    return {{"path", object.path},
            {"value", object.value},
            {"version", object.version},
            {"removed", object.removed}};
}

nlohmann::json toJson(const std::vector<StoreObject> &objects)
{
    nlohmann::json list = nlohmann::json::array();
    for (const StoreObject &object : objects)
        list.push_back(toJson(object));
    return list;
}

std::optional<ObjectVersion> conditionOf(const Exchange &exchange)
{
    const std::string text = exchange.header("If-Match");
    if (text.empty())
        return std::nullopt;
    return std::strtoull(text.c_str(), nullptr, 10);
}

nlohmann::json bodyOf(const Exchange &exchange)
{
    auto json = nlohmann::json::parse(exchange.request().body(), nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

void answerWrite(Exchange &exchange, const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        exchange.markRan();
        exchange.answer(200, {{"version", reply.version}});
    } else if (reply.status == StoreStatus::Conflict) {
        exchange.answer(412, {{"error", "conflict"}, {"version", reply.version}});
    } else {
        exchange.answer(404, {{"error", "not found"}});
    }
}

} // namespace

StandinPlatform::StandinPlatform(boost::asio::io_context &context,
                                 const boost::asio::ip::tcp::endpoint &endpoint,
                                 const PlatformOptions &options)
    : options_(options), instancesTimer_(context), ticketBytes_(options.weightBytesPerSecond),
      server_(context, endpoint, [this](const Ptr &exchange) { handle(exchange); })
{
    server_.recorder().setEnabled(options.keepsRecords);
}

void StandinPlatform::handle(const Ptr &exchange)
{
    const std::string &path = exchange->path();
    if (startsWith(path, "/standin/")) {
        handleControl(exchange);
    } else if (startsWith(path, objectsPrefix)) {
        handleObjects(exchange);
    } else if (path == "/list") {
        handleList(exchange);
    } else if (path == "/watch") {
        handleWatch(exchange);
    } else if (path == "/instances") {
        ++calls_["instances"];
        exchange->answer(200, {{"instances", instances_}});
    } else if (startsWith(path, fleetPrefix)) {
        handleFleet(exchange);
    } else if (path == "/usage-reports") {
        handleUsage(exchange);
    } else if (path == "/weights/tickets") {
        handleTickets(exchange);
    } else {
        exchange->answer(404, {{"error", "no such call"}});
    }
}

void StandinPlatform::handleControl(const Ptr &exchange)
{
    if (exchange->path() == "/standin/calls") {
        exchange->answer(200, {{"calls", calls_}, {"waiting_watches", watches_.size()}});
    } else if (exchange->path() == "/standin/instances") {
        setInstances(bodyOf(*exchange));
        exchange->answer(200, Json::object());
    } else if (exchange->path() == "/standin/running") {
        const Json body = bodyOf(*exchange);
        fleet_[body.value("domain", "") + "/" + body.value("cost_class", "")].running =
            body.value("running", 0U);
        exchange->answer(200, Json::object());
    } else {
        exchange->answer(404, {{"error", "no such control"}});
    }
}

void StandinPlatform::setInstances(const Json &body)
{
    instancesTimer_.expires_after(std::chrono::milliseconds(body.value("lag_ms", 0)));
    instancesTimer_.async_wait(
        [this, list = body.value("instances", Json::array())](boost::system::error_code error) {
            if (!error)
                instances_ = list;
        });
}

ObjectVersion StandinPlatform::readableRevision(const Exchange &exchange) const
{
    const auto &fault = exchange.fault();
    if (!fault || fault->kind != FaultKind::LaggingReads)
        return store_.revision();
    return store_.revision() - std::min(store_.revision(), fault->revisions);
}

void StandinPlatform::handleObjects(const Ptr &exchange)
{
    const std::string path = exchange->path().substr(sizeof objectsPrefix - 1);
    const auto method = exchange->request().method();
    if (method == boost::beast::http::verb::put) {
        handlePut(exchange, path);
        return;
    }
    if (method == boost::beast::http::verb::delete_) {
        handleRemove(exchange, path);
        return;
    }
    ++calls_["get"];
    const ObjectVersion at = readableRevision(*exchange);
    const auto object = store_.get(path, at);
    Json body = object ? toJson(*object) : Json{{"error", "not found"}};
    body["revision"] = at;
    exchange->answer(object ? 200 : 404, body);
}

void StandinPlatform::handlePut(const Ptr &exchange, const std::string &path)
{
    ++calls_["put"];
    const StoreReply reply = store_.put({path, exchange->request().body(), conditionOf(*exchange)});
    answerWrite(*exchange, reply);
    wakeWatches();
}

void StandinPlatform::handleRemove(const Ptr &exchange, const std::string &path)
{
    ++calls_["remove"];
    answerWrite(*exchange, store_.remove(path, conditionOf(*exchange)));
    wakeWatches();
}

void StandinPlatform::handleList(const Ptr &exchange)
{
    ++calls_["list"];
    const ObjectVersion at = readableRevision(*exchange);
    exchange->answer(
        200, {{"revision", at}, {"objects", toJson(store_.list(exchange->query("prefix"), at))}});
}

void StandinPlatform::handleWatch(const Ptr &exchange)
{
    ++calls_["watch"];
    const auto waitMs = std::strtoull(exchange->query("wait_ms").c_str(), nullptr, 10);
    const ObjectVersion after = std::strtoull(exchange->query("after").c_str(), nullptr, 10);
    watches_.push_back(
        {exchange, exchange->query("prefix"), after,
         boost::asio::steady_timer(server_.context(), std::chrono::milliseconds(waitMs))});
    const auto watch = std::prev(watches_.end());
    const std::weak_ptr<Exchange> weak = exchange;
    const auto drop = [this, weak] {
        watches_.remove_if([&weak](const Watch &w) { return w.exchange == weak.lock(); });
    };
    exchange->onCallerDisconnected = drop;
    watch->timer.async_wait([this, weak](boost::system::error_code error) {
        const auto due = std::find_if(watches_.begin(), watches_.end(), [&weak](const Watch &w) {
            return w.exchange == weak.lock();
        });
        if (error || due == watches_.end())
            return;
        answerWatch(*due);
        watches_.erase(due);
    });
    wakeWatches();
}

void StandinPlatform::answerWatch(Watch &watch)
{
    watch.exchange->answer(200,
                           {{"revision", store_.revision()},
                            {"objects", toJson(store_.changes(watch.prefix, watch.after))}});
}

void StandinPlatform::wakeWatches()
{
    for (auto it = watches_.begin(); it != watches_.end();) {
        if (store_.changes(it->prefix, it->after).empty()) {
            ++it;
            continue;
        }
        answerWatch(*it);
        it = watches_.erase(it);
    }
}

void StandinPlatform::handleFleet(const Ptr &exchange)
{
    ++calls_["fleet"];
    FleetEntry &entry = fleet_[exchange->path().substr(sizeof fleetPrefix - 1)];
    if (exchange->request().method() != boost::beast::http::verb::put) {
        Json body = entry.target.is_object()
            ? entry.target
            : Json{{"count", 0}, {"fence", 0}, {"client_token", ""}};
        body["running"] = entry.running;
        exchange->answer(200, body);
        return;
    }
    const Json target = bodyOf(*exchange);
    const std::string token = target.value("client_token", "");
    const auto known = entry.byToken.find(token);
    if (known != entry.byToken.end()) {
        exchange->note("repeated-token");
        exchange->answer(known->second.status, known->second.body);
        return;
    }
    const Answer answer = setTarget(entry, target, *exchange);
    entry.byToken[token] = answer;
    exchange->answer(answer.status, answer.body);
}

StandinPlatform::Answer StandinPlatform::setTarget(FleetEntry &entry, const Json &target,
                                                   Exchange &exchange)
{
    const auto fence = target.value("fence", std::uint64_t(0));
    if (fence < entry.highestFence) {
        exchange.note("stale-fence");
        return {409, {{"error", "stale fence"}, {"highest_fence", entry.highestFence}}};
    }
    entry.highestFence = fence;
    entry.target = target;
    entry.running = target.value("count", 0U);
    exchange.markRan();
    return {200, target};
}

void StandinPlatform::handleUsage(const Ptr &exchange)
{
    ++calls_["usage"];
    const Json report = bodyOf(*exchange);
    const std::string window = report.value("window_id", "");
    const std::string figures = report.value("sealed_figures", "");
    const auto fence = report.value("fence", std::uint64_t(0));
    // Fences belong to the duty of one team, and a window's name begins with its team.
    std::uint64_t &highestFence = usageFences_[window.substr(0, window.find('/'))];
    const auto known = reportedWindows_.find(window);
    if (known != reportedWindows_.end() && known->second != figures) {
        exchange->note("conflict");
        exchange->answer(409, {{"error", "the window has other figures"}});
        return;
    }
    if (fence < highestFence) {
        exchange->note("stale-fence");
        exchange->answer(409, {{"error", "stale fence"}, {"highest_fence", highestFence}});
        return;
    }
    highestFence = fence;
    reportedWindows_[window] = figures;
    exchange->note(known == reportedWindows_.end() ? "" : "repeated");
    exchange->markRan();
    exchange->answer(200, Json::object());
}

void StandinPlatform::handleTickets(const Ptr &exchange)
{
    ++calls_["tickets"];
    const double rate = options_.weightBytesPerSecond;
    const std::int64_t now = server_.nowMs();
    ticketBytes_ = std::min(rate, ticketBytes_ + rate * double(now - ticketsAtMs_) / 1000);
    ticketsAtMs_ = now;
    const double bytes = bodyOf(*exchange).value("bytes", 0.0);
    // A load larger than one second's rate leaves the bucket in debt, which later ones wait out.
    if (ticketBytes_ < std::min(bytes, rate)) {
        const double missing = std::min(bytes, rate) - ticketBytes_;
        exchange->answer(429, {{"retry_after_ms", std::int64_t(missing / rate * 1000) + 1}});
        return;
    }
    ticketBytes_ -= bytes;
    exchange->markRan();
    exchange->answer(200, {{"ticket", "ticket-" + std::to_string(++tickets_)}});
}

} // namespace cuminrail::standin
