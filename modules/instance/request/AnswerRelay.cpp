#include "instance/request/AnswerRelay.h"

#include "core/guards/Guards.h"
#include "instance/request/RequestHeaders.h"

#include <charconv>

namespace cuminrail {

namespace {

constexpr std::string_view eventStreamType = "text/event-stream";

/** Finds the last `"name": number` in a text without parsing all of the text. */
std::optional<std::uint64_t> lastNumber(std::string_view text, std::string_view name)
{
    const auto at = text.rfind(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.find_first_of("0123456789", at + name.size());
    const auto separator = text.substr(at + name.size(), digits - at - name.size());
    if (digits == std::string_view::npos
        || separator.find_first_not_of(": \t\r\n") != std::string_view::npos)
        return std::nullopt;
    std::uint64_t value = 0;
    std::from_chars(text.data() + digits, text.data() + text.size(), value);
    return value;
}

} // namespace

AnswerRelay::AnswerRelay(std::shared_ptr<HttpExchange> exchange, std::string requestId)
    : exchange_(std::move(exchange)), requestId_(std::move(requestId)),
      events_([this](const SseEvent &event) { onEvent(event); })
{ }

bool AnswerRelay::announcesEvents(const HttpHead &head)
{
    const std::string *type = head.find("Content-Type");
    return head.status == 200 && type != nullptr
        && sameHeaderName(type->substr(0, eventStreamType.size()), eventStreamType);
}

void AnswerRelay::onHead(HttpHead &head)
{
    status_ = head.status;
    if (!hasStarted_)
        isEventStream_ = announcesEvents(head);
    head_ = std::move(head);
}

bool AnswerRelay::onBody(std::string_view data)
{
    if (isEventStream_) {
        const bool isValid = events_.feed(data) && !isOutOfOrder_;
        if (!pendingOutput_.empty()) {
            if (!hasStarted_)
                startForwarding();
            exchange_->write(pendingOutput_);
            pendingOutput_.clear();
        }
        return isValid;
    }
    if (hasStarted_) {
        exchange_->write(data);
        return true;
    }
    buffered_ += data;
    if (buffered_.size() > maxBufferedBytes) {
        startForwarding();
        exchange_->write(buffered_);
        buffered_.clear();
    }
    return true;
}

void AnswerRelay::onEvent(const SseEvent &event)
{
    if (isOutOfOrder_ || isDone_)
        return;
    if (event.number && guardEnabled(Guard::StreamOffsetChecked)) {
        // After a resume, the upstream may start at an earlier event; events that the caller has
        // already received are skipped. A gap in the numbers means that part of the response is
        // lost.
        if (*event.number < nextEvent_)
            return;
        if (*event.number > nextEvent_) {
            isOutOfOrder_ = true;
            return;
        }
    }
    if (event.number)
        ++nextEvent_;
    isDone_ = event.isDone();
    if (!isDone_ && !event.data.empty()) {
        ++dataEventCount_;
        if (const auto output = lastNumber(event.data, "\"completion_tokens\"")) {
            outputTokens_ = output;
            promptTokens_ = lastNumber(event.data, "\"prompt_tokens\"");
        }
    }
    pendingOutput_ += event.bytes;
}

bool AnswerRelay::onComplete()
{
    if (isEventStream_)
        return isDone_ || !guardEnabled(Guard::TruncatedStreamShown);
    return true;
}

std::vector<HttpHeader> AnswerRelay::callerHeaders() const
{
    std::vector<HttpHeader> headers = headersForCaller(head_);
    headers.push_back({"X-Request-Id", requestId_});
    headers.push_back({"X-Cuminrail-Verdict", std::string(verdictNames.name(Verdict::Ran))});
    return headers;
}

void AnswerRelay::startForwarding()
{
    hasStarted_ = true;
    isUnbuffered_ = true;
    exchange_->beginStream(status_, callerHeaders());
}

void AnswerRelay::respondHeld()
{
    if (hasStarted_)
        return exchange_->finish();
    hasStarted_ = true;
    exchange_->respond(HttpResponse{status_, callerHeaders(), buffered_});
}

void AnswerRelay::discard()
{
    buffered_.clear();
    events_.discardPartial();
    isOutOfOrder_ = false;
    nextEvent_ = 0;
    status_ = 0;
}

void AnswerRelay::fail(const Refusal &refusal)
{
    if (!hasStarted_) {
        hasStarted_ = true;
        return exchange_->respond(errorAnswer(refusal, requestId_));
    }
    if (isEventStream_)
        return exchange_->finishTruncated("data: " + errorBody(refusal) + "\n\n");
    exchange_->abort();
}

void AnswerRelay::failAndRecord(const Refusal &refusal)
{
    exchange_->respond(errorAnswer(refusal, requestId_));
}

std::string AnswerRelay::contentType() const
{
    const std::string *type = head_.find("Content-Type");
    return type == nullptr ? std::string() : *type;
}

TokenCounts AnswerRelay::tokens() const
{
    if (isEventStream_)
        return TokenCounts{promptTokens_, outputTokens_.value_or(dataEventCount_)};
    return TokenCounts{lastNumber(buffered_, "\"prompt_tokens\""),
                       lastNumber(buffered_, "\"completion_tokens\"").value_or(0)};
}

} // namespace cuminrail
