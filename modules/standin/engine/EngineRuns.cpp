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

/** A text as JSON writes it, quotes included. */
std::string quoted(const std::string &text)
{
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Put together by hand: a JSON tree for each token would make the engine slower than what is
    measured against it. */
std::string chunkOf(const CompletionRequest &request, const std::string &token, bool isLast)
{
    std::string chunk = R"({"id":)" + quoted(request.requestId) + R"(,"object":")";
    chunk += request.isChat ? "chat.completion.chunk" : "text_completion";
    chunk += R"(","created":0,"model":)" + quoted(request.model);
    chunk += R"(,"choices":[{"index":0,"finish_reason":)";
    chunk += isLast ? R"("length",)" : "null,";
    if (request.isChat)
        chunk += R"("delta":{"role":"assistant","content":")" + token + R"("}}])";
    else
        chunk += R"("text":")" + token + R"("}])";
    if (isLast)
        chunk += R"(,"usage":)" + usageOf(request).dump();
    return chunk + "}";
}

} // namespace

std::string EngineRun::event(std::size_t number) const
{
    if (number >= tokens.size())
        return toEvent(number, "[DONE]");
    return toEvent(number, chunkOf(request, tokens[number], number + 1 == tokens.size()));
}

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
    run->tokens = answerTokens(request.prompt, request.maxTokens);
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
            run->available = run->eventCount();
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
        if (run->available + 1 == run->eventCount())
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
