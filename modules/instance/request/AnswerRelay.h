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

/** Token counts reported by the upstream or, failing that, counted while relaying. */
struct TokenCounts
{
    std::optional<std::uint64_t> prompt;
    std::uint64_t output = 0;
};

/**
    Relays an upstream's response to the caller so that a truncated response never looks complete.

    A plain response is buffered until it is complete or exceeds the buffer limit. Until then, the
    request can be retried on another upstream without the caller noticing. An event stream is
    forwarded event by event.
*/
class AnswerRelay
{
public:
    /** Plain responses up to this size are buffered until they are complete. */
    static constexpr std::size_t maxBufferedBytes = 1024 * 1024;

    AnswerRelay(std::shared_ptr<HttpExchange> exchange, std::string requestId);

    /** Returns whether a response with this head consists of events. */
    static bool announcesEvents(const HttpHead &head);

    /** Handles a response head. Events are expected to continue after the last one. */
    void onHead(HttpHead &head);
    /** Handles bytes of the body. Returns false when they cannot belong to a valid response. */
    bool onBody(std::string_view data);
    /** Handles the end of the upstream's message. Returns false if the response is incomplete. */
    bool onComplete();

    /** Returns true when part of the response has been sent to the caller. */
    bool hasStarted() const { return hasStarted_; }
    bool isEventStream() const { return isEventStream_; }
    /** Returns true when the stream's last event has been relayed. */
    bool isDone() const { return isDone_; }
    /** Returns the number of the next event to forward to the caller. */
    std::uint64_t nextEvent() const { return nextEvent_; }
    bool isCongested() const { return exchange_->isCongested(); }

    /** Discards a response of which nothing has been forwarded. */
    void discard();
    /** Drops a partial event before the stream is resumed over another connection. */
    void prepareResume() { events_.discardPartial(); }

    /** Sends the buffered response, or finishes a response that has started. */
    void respondHeld();
    /** Responds with an error, or ends a started response so that it is visibly truncated. */
    void fail(const Refusal &refusal);

    /** Responds with an error, and keeps receiving the upstream's response only to record it. */
    void failAndRecord(const Refusal &refusal);

    int status() const { return status_; }
    /** Returns the buffered body; empty for streams. */
    const std::string &heldBody() const { return buffered_; }
    /** Returns false for a response that is streamed or was too large to buffer. */
    bool isHeldWhole() const { return !isUnbuffered_; }
    std::string contentType() const;
    TokenCounts tokens() const;

private:
    std::vector<HttpHeader> callerHeaders() const;
    void onEvent(const SseEvent &event);
    void startForwarding();

    std::shared_ptr<HttpExchange> exchange_;
    std::string requestId_;
    int status_ = 0;
    HttpHead head_;
    std::string buffered_;
    std::string pendingOutput_;
    SseReader events_;
    bool hasStarted_ = false;
    bool isEventStream_ = false;
    bool isDone_ = false;
    bool isOutOfOrder_ = false;
    bool isUnbuffered_ = false;
    std::uint64_t nextEvent_ = 0;
    std::uint64_t dataEventCount_ = 0;
    std::optional<std::uint64_t> promptTokens_;
    std::optional<std::uint64_t> outputTokens_;
};

} // namespace cuminrail
