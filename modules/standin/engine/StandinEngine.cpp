#include "standin/engine/StandinEngine.h"

#include <cstdlib>

namespace cuminrail::standin {

namespace {

using Json = nlohmann::json;

constexpr const char requestsPrefix[] = "/v1/requests/";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

Json errorBody(const std::string &code)
{
    return {{"error", {{"message", code}, {"type", "engine"}, {"code", code}}}};
}

std::string contentText(const Json &content)
{
    if (content.is_string())
        return content.get<std::string>();
    std::string text;
    for (const Json &part : content) {
        if (part.is_object())
            text += part.value("text", "");
    }
    return text;
}

std::string promptOf(const Json &body, bool isChat)
{
    if (!isChat)
        return body.contains("prompt") ? contentText(body["prompt"]) : "";
    std::string prompt;
    for (const Json &message : body.value("messages", Json::array())) {
        if (message.is_object() && message.contains("content"))
            prompt += contentText(message["content"]) + "\n";
    }
    return prompt;
}

Json plainResponse(const EngineRun &run)
{
    const CompletionRequest &request = run.request;
    std::string text;
    for (const std::string &token : run.tokens)
        text += token;
    const std::size_t promptTokens = request.prompt.size() / 4 + 1;
    Json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (request.isChat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return {{"id", request.requestId},
            {"object", request.isChat ? "chat.completion" : "text_completion"},
            {"created", 0},
            {"model", request.model},
            {"choices", Json::array({choice})},
            {"usage",
             {{"prompt_tokens", promptTokens},
              {"completion_tokens", request.maxTokens},
              {"total_tokens", promptTokens + request.maxTokens}}}};
}

} // namespace

StandinEngine::StandinEngine(boost::asio::io_context &context,
                             const boost::asio::ip::tcp::endpoint &endpoint,
                             const EngineOptions &options)
    : options_(options), cache_(options.cache),
      orders_(context,
              {options.role, options.models, options.checksFence, options.roleChangeMs,
               options.loadMs}),
      runs_(context, options.slots, options.tokenMs),
      server_(context, endpoint, [this](const Ptr &exchange) { handle(exchange); })
{
    server_.recorder().setEnabled(options.keepsRecords);
}

void StandinEngine::handle(const Ptr &exchange)
{
    const std::string &path = exchange->path();
    if (path == "/v1/chat/completions" || path == "/v1/completions")
        handleCompletion(exchange, path == "/v1/chat/completions");
    else if (startsWith(path, requestsPrefix))
        handleRequestId(exchange, path.substr(sizeof requestsPrefix - 1));
    else if (path == "/control/state")
        handleState(exchange);
    else if (path == "/control/orders")
        handleOrder(exchange);
    else if (path == "/control/cache-events")
        exchange->answer(
            200,
            cache_.visible(std::strtoull(exchange->query("after").c_str(), nullptr, 10),
                           server_.nowMs()));
    else if (path == "/standin/crash")
        handleCrash(exchange);
    else
        exchange->answer(404, errorBody("not_found"));
}

void StandinEngine::handleCompletion(const Ptr &exchange, bool isChat)
{
    const Json body = Json::parse(exchange->request().body(), nullptr, false);
    if (!body.is_object()) {
        exchange->answer(400, errorBody("invalid_json"));
        return;
    }
    if (orders_.state().role == EngineRole::None) {
        // Refused before running: the engine takes no work while it changes role or drains.
        exchange->answer(503, errorBody("not_ready"));
        return;
    }
    CompletionRequest request;
    request.requestId = exchange->header("X-Request-Id");
    request.model = body.value("model", "");
    request.prompt = promptOf(body, isChat);
    request.maxTokens = std::max(1U, body.value("max_tokens", 16U));
    request.isChat = isChat;
    request.isStreamed = body.value("stream", false);
    exchange->markRan();
    cache_.store(exchange->header("X-Customer"), request.prompt, request.prompt.size() / 4 + 1,
                 server_.nowMs());
    const auto run = runs_.start(std::move(request));
    if (run->request.isStreamed) {
        exchange->beginEvents({{"X-Request-Id", run->request.requestId}});
        follow(exchange, run, 0);
    } else {
        answerPlain(exchange, run);
    }
}

void StandinEngine::answerPlain(const Ptr &exchange, const std::shared_ptr<EngineRun> &run)
{
    if (run->isCancelled)
        exchange->reset();
    else if (run->isFinished())
        exchange->answer(200, plainResponse(*run), {{"X-Request-Id", run->request.requestId}});
    else
        run->waiters.push_back([this, exchange, run] { answerPlain(exchange, run); });
}

void StandinEngine::follow(const Ptr &exchange, const std::shared_ptr<EngineRun> &run,
                           std::size_t next)
{
    if (run->isCancelled) {
        exchange->reset();
        return;
    }
    if (next >= run->eventCount()) {
        exchange->endEvents();
        return;
    }
    if (next >= run->available) {
        run->waiters.push_back([this, exchange, run, next] { follow(exchange, run, next); });
        return;
    }
    std::vector<std::string> events;
    events.reserve(run->available - next);
    for (std::size_t number = next; number < run->available; ++number)
        events.push_back(run->event(number));
    const std::size_t end = run->available;
    exchange->sendEvents(events, [this, exchange, run, end](bool sent) {
        if (sent)
            follow(exchange, run, end);
    });
}

void StandinEngine::handleRequestId(const Ptr &exchange, const std::string &id)
{
    const auto run = runs_.find(id);
    if (!run) {
        exchange->answer(404, errorBody("unknown_request"));
        return;
    }
    if (exchange->request().method() == boost::beast::http::verb::delete_) {
        runs_.cancel(*run);
        exchange->markRan();
        exchange->answer(200, Json::object());
        return;
    }
    const std::size_t offset = std::strtoull(exchange->query("offset").c_str(), nullptr, 10);
    if (offset > run->eventCount()) {
        exchange->answer(416, errorBody("offset_out_of_range"));
        return;
    }
    exchange->beginEvents({{"X-Request-Id", id}});
    follow(exchange, run, offset);
}

nlohmann::json StandinEngine::sampledLoad()
{
    const std::int64_t now = server_.nowMs();
    if (loadAtMs_ < 0 || now - loadAtMs_ >= options_.loadLagMs) {
        load_ = {{"running", runs_.running()},
                 {"waiting", runs_.waiting()},
                 {"cached_tokens", cache_.cachedTokens()}};
        loadAtMs_ = now;
    }
    return load_;
}

void StandinEngine::handleState(const Ptr &exchange)
{
    const EngineState &state = orders_.state();
    const Json load = sampledLoad();
    exchange->answer(200,
                     {{"incarnation", state.incarnation},
                      {"role", engineRoleNames.name(state.role)},
                      {"models", state.models},
                      {"adapters", state.adapters},
                      {"last_order_id", state.lastOrderId},
                      {"current_order_id", state.currentOrderId},
                      {"highest_fence", state.highestFence},
                      {"load", load},
                      {"load_age_ms", server_.nowMs() - loadAtMs_}});
}

void StandinEngine::handleOrder(const Ptr &exchange)
{
    const Json body = Json::parse(exchange->request().body(), nullptr, false);
    const auto kind = body.is_object()
        ? engineOrderKindNames.value(body.value("kind", std::string()))
        : std::nullopt;
    if (!kind) {
        exchange->answer(400, errorBody("invalid_order"));
        return;
    }
    EngineOrder order;
    order.orderId = body.value("order_id", "");
    order.fence = body.value("fence", std::uint64_t(0));
    order.kind = *kind;
    order.target = body.value("target", "");
    const OrderEffect effect = orders_.take(order);
    exchange->note(effect.note);
    if (!effect.isAccepted) {
        exchange->answer(409, errorBody(effect.note));
        return;
    }
    if (effect.note != "repeated")
        exchange->markRan();
    exchange->answer(202, {{"order_id", order.orderId}});
}

void StandinEngine::handleCrash(const Ptr &exchange)
{
    const Json body = Json::parse(exchange->request().body(), nullptr, false);
    const std::string role = body.is_object() ? body.value("role", "old") : "old";
    const bool isNow = !body.is_object() || body.value("when", "now") == "now";
    exchange->answer(200, Json::object());
    if (isNow) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            server_.context(), std::chrono::milliseconds(1));
        timer->async_wait([this, role, timer](boost::system::error_code) { crash(role); });
    } else {
        orders_.crashDuringNext([this, role] { crash(role); });
    }
}

void StandinEngine::crash(const std::string &roleAfter)
{
    orders_.crash(roleAfter);
    cache_.clear();
    runs_.clear();
    server_.resetConnections();
}

} // namespace cuminrail::standin
