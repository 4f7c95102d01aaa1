#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail::standin {

/** What a completion asks for. */
struct CompletionRequest
{
    std::string requestId;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 16;
    bool isChat = false;
    bool isStreamed = false;
};

/** A completion that runs or has run: all its events, and how many of them exist already. */
struct EngineRun
{
    CompletionRequest request;
    std::vector<std::string> tokens;
    /** How many events exist already, of one a token and "[DONE]". */
    std::size_t available = 0;
    bool isCancelled = false;
    bool isStarted = false;
    /** Called once by the next progress; several followers may wait. */
    std::vector<std::function<void()>> waiters;

    std::size_t eventCount() const { return tokens.size() + 1; }
    bool isFinished() const { return isCancelled || available >= eventCount(); }
    /** Returns a whole server-sent event; the last one is "[DONE]". */
    std::string event(std::size_t number) const;
};

/** Returns the deterministic answer to a prompt: @p tokens words that depend on it alone. */
std::vector<std::string> answerTokens(const std::string &prompt, std::uint32_t tokens);

/** The runs of an engine: slots, waiting ones, pacing. */
class EngineRuns
{
public:
    EngineRuns(boost::asio::io_context &context, std::size_t slots, std::uint32_t tokenMs)
        : context_(context), slots_(slots), tokenMs_(tokenMs)
    { }

    std::shared_ptr<EngineRun> start(CompletionRequest request);
    /** Returns a run, also a finished one, or null. */
    std::shared_ptr<EngineRun> find(const std::string &requestId) const;
    void cancel(EngineRun &run);
    void clear();

    std::size_t running() const { return running_; }
    std::size_t waiting() const { return waiting_.size(); }

private:
    void admit();
    void pace(const std::shared_ptr<EngineRun> &run);
    void progress(EngineRun &run);

    boost::asio::io_context &context_;
    std::size_t slots_;
    std::uint32_t tokenMs_;
    std::size_t running_ = 0;
    std::map<std::string, std::shared_ptr<EngineRun>> byId_;
    std::deque<std::string> order_;
    std::deque<std::shared_ptr<EngineRun>> waiting_;
};

} // namespace cuminrail::standin
