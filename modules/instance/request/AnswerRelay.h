#pragma once

#include "core/verdict/Verdict.h"
#include "instance/request/ErrorAnswer.h"
#include "net/http/SseReader.h"
#include "net/server/HttpExchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cuminrail {

/** Tokens as the upstream counted them, or as they were counted on the way. */
struct TokenCounts
{
    std::optional<std::uint64_t> prompt;
    std::uint64_t output = 0;
};

/**
    Passes an upstream's answer on to the caller, so that no part of one can look like a whole.

    A plain answer is held back until it is whole, or too large to hold: until then the request
    can be run elsewhere without the caller noticing. A stream of events goes on event by event.
*/
class AnswerRelay
{
public:
    /** Plain answers up to this size are held back until they are whole. */
    static constexpr std::size_t holdBytes = 1024 * 1024;

    AnswerRelay(std::shared_ptr<HttpExchange> exchange, std::string requestId);

    /** An upstream's answer begins. Events are expected from the number after the last one. */
    void onHead(HttpHead &head);
    /** Takes bytes of the body. Returns false when they cannot be the right answer. */
    bool onBody(std::string_view data);
    /** The upstream's message is whole. Returns false if the answer in it is not. */
    bool onComplete();

    /** Returns true when the caller has got a part of the answer. */
    bool hasStarted() const { return hasStarted_; }
    bool isEventStream() const { return isEventStream_; }
    /** Returns true when the caller has got the stream's last event. */
    bool isDone() const { return isDone_; }
    /** Returns the number of the next event that the caller has to get. */
    std::uint64_t nextEvent() const { return nextEvent_; }
    bool isCongested() const { return exchange_->isCongested(); }

    /** Forgets an answer of which nothing was passed on. */
    void discard();
    /** Drops half an event before the stream is continued over another connection. */
    void prepareResume() { events_.discardPartial(); }

    /** Passes on the whole answer that is held back. */
    void respondHeld();
    /** Answers with an error, or ends a started answer in a way that shows it is cut. */
    void fail(const Refusal &refusal);

    /** Answers with an error, and goes on taking the upstream's answer for its record alone. */
    void failAndRecord(const Refusal &refusal);

    int status() const { return status_; }
    /** Returns the body held back; empty for streams. */
    const std::string &heldBody() const { return held_; }
    /** Returns false for an answer that was too large to hold back. */
    bool isHeldWhole() const { return !isPassedThrough_; }
    std::string contentType() const;
    TokenCounts tokens() const;

private:
    std::vector<HttpHeader> callerHeaders() const;
    void onEvent(const SseEvent &event);
    void beginPassing();

    std::shared_ptr<HttpExchange> exchange_;
    std::string requestId_;
    int status_ = 0;
    HttpHead head_;
    std::string held_;
    std::string outgoing_;
    SseReader events_;
    bool hasStarted_ = false;
    bool isEventStream_ = false;
    bool isDone_ = false;
    bool isOutOfOrder_ = false;
    bool isPassedThrough_ = false;
    std::uint64_t nextEvent_ = 0;
    std::uint64_t dataEvents_ = 0;
    std::optional<std::uint64_t> promptTokens_;
    std::optional<std::uint64_t> outputTokens_;
};

} // namespace cuminrail
