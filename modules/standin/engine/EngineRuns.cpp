#include "standin/engine/EngineRuns.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace cuminrail::standin {

namespace {

using Json = nlohmann::json;

/** Finished runs that can still be resumed. */
constexpr std::size_t keptRuns = 2048;
constexpr std::size_t charactersPerToken = 4;

Json usageOf(const CompletionRequest &request)
{
    const std::size_t prompt = request.prompt.size() / charactersPerToken + 1;
    return {{"prompt_tokens", prompt},
            {"completion_tokens", request.maxTokens},
            {"total_tokens", prompt + request.maxTokens}};
}

std::string toEvent(std::size_t number, const std::string &data)
{
    return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

Json chunkOf(const CompletionRequest &request, const std::string &token, bool isLast)
{
    Json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (request.isChat)
        choice["delta"] = {{"role", "assistant"}, {"content", token}};
    else
        choice["text"] = token;
    Json chunk = {{"id", request.requestId},
                  {"object", request.isChat ? "chat.completion.chunk" : "text_completion"},
                  {"created", 0},
                  {"model", request.model}};
    if (isLast) {
        choice["finish_reason"] = "length";
        chunk["usage"] = usageOf(request);
    }
    chunk["choices"] = Json::array({choice});
    return chunk;
}

std::vector<std::string> eventsOf(const CompletionRequest &request,
                                  const std::vector<std::string> &tokens)
{
    std::vector<std::string> events;
    for (std::size_t i = 0; i < tokens.size(); ++i) {
        const Json chunk = chunkOf(request, tokens[i], i + 1 == tokens.size());
        events.push_back(toEvent(i, chunk.dump(-1, ' ', false, Json::error_handler_t::replace)));
    }
    events.push_back(toEvent(tokens.size(), "[DONE]"));
    return events;
}

} // namespace

std::vector<std::string> answerTokens(const std::string &prompt, std::uint32_t tokens)
{
    constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
    constexpr std::uint64_t fnvPrime = 1099511628211ULL;
    std::uint64_t hash = fnvOffset;
    for (const char c : prompt)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    std::vector<std::string> words;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        hash = (hash ^ i) * fnvPrime;
        words.push_back((i == 0 ? "w" : " w") + std::to_string(hash >> 48U));
    }
    return words;
}

std::shared_ptr<EngineRun> EngineRuns::start(CompletionRequest request)
{
    auto run = std::make_shared<EngineRun>();
    const auto tokens = answerTokens(request.prompt, request.maxTokens);
    for (const std::string &token : tokens)
        run->text += token;
    run->events = eventsOf(request, tokens);
    run->request = std::move(request);
    byId_[run->request.requestId] = run;
    order_.push_back(run->request.requestId);
    if (order_.size() > keptRuns) {
        byId_.erase(order_.front());
        order_.pop_front();
    }
    waiting_.push_back(run);
    admit();
    return run;
}

std::shared_ptr<EngineRun> EngineRuns::find(const std::string &requestId) const
{
    const auto found = byId_.find(requestId);
    return found == byId_.end() ? nullptr : found->second;
}

void EngineRuns::admit()
{
    while (running_ < slots_ && !waiting_.empty()) {
        const auto run = waiting_.front();
        waiting_.pop_front();
        if (run->isCancelled)
            continue;
        run->isStarted = true;
        ++running_;
        if (tokenMs_ == 0) {
            run->available = run->events.size();
            --running_;
            progress(*run);
        } else {
            pace(run);
        }
    }
}

void EngineRuns::pace(const std::shared_ptr<EngineRun> &run)
{
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(tokenMs_));
    timer->async_wait([this, run, timer](boost::system::error_code error) {
        if (error || run->isCancelled)
            return;
        ++run->available;
        // "[DONE]" comes with the last token.
        if (run->available + 1 == run->events.size())
            ++run->available;
        if (run->isFinished())
            --running_;
        else
            pace(run);
        progress(*run);
        admit();
    });
}

void EngineRuns::progress(EngineRun &run)
{
    const auto waiters = std::exchange(run.waiters, {});
    for (const auto &waiter : waiters)
        waiter();
}

void EngineRuns::cancel(EngineRun &run)
{
    if (run.isFinished())
        return;
    run.isCancelled = true;
    if (run.isStarted)
        --running_;
    progress(run);
    admit();
}

void EngineRuns::clear()
{
    const auto runs = std::exchange(byId_, {});
    waiting_.clear();
    order_.clear();
    for (const auto &entry : runs)
        cancel(*entry.second);
}

} // namespace cuminrail::standin
