#include "core/events/EventCatalogue.h"
#include "gateway/request/RequestRelay.h"

namespace cuminrail {

namespace {

std::string text(Millis duration)
{
    return std::to_string(duration.count());
}

std::string text(double number)
{
    return std::to_string(static_cast<std::int64_t>(number));
}

/** Returns the fingerprints of the parts that other prompts may share. */
std::string sharedPartsText(const RequestContents &contents)
{
    std::string text;
    for (const ContentFingerprint &content : contents.all()) {
        if (content.kind() == ContentKind::Part)
            text += (text.empty() ? "" : ",") + content.text();
    }
    return text;
}

} // namespace

void RequestRelay::logPlaced(const UpstreamEntry &upstream) const
{
    const Millis now = context_.now();
    Event event{&events::requestPlaced,
                {{"request", inbound_.id},
                 {"route", route_->name},
                 {"customer", customer_},
                 {"service", service_},
                 {"upstream", upstream.id},
                 {"address", upstream.address},
                 {"software_version", upstream.softwareVersion},
                 {"step", attempt_.isPrefill ? "prefill" : "run"},
                 {"elapsed_ms", text(now - arrivedAt_)},
                 {"left_ms", text(deadlineAt_ - now)},
                 {"configuration", std::to_string(index_->version())},
                 {"configuration_age_ms", text(now - context_.configurationConfirmedAt)},
                 {"upstreams_age_ms", text(now - context_.upstreamsConfirmedAt)},
                 {"bad_share_pct", text(100 * context_.health.badShare(upstream.id))}}};
    if (attempt_.choice) {
        event.fields.emplace_back("expected_ms", text(attempt_.choice->expectedMillis));
        event.fields.emplace_back("wait_ms", text(attempt_.choice->waitMillis));
        event.fields.emplace_back("first_event_ms", text(attempt_.choice->firstEventMillis));
        event.fields.emplace_back("fresh_tokens", text(attempt_.choice->freshTokens));
    } else {
        event.fields.emplace_back("own_open", std::to_string(context_.services.open(upstream.id)));
    }
    if (lastEventId_) {
        event.fields.emplace_back("resume_after", std::to_string(*lastEventId_));
        event.fields.emplace_back("stream", inbound_.resumes.value_or(inbound_.id));
    }
    if (sends_ + refusals_ + connectFailures_ > 0)
        event.fields.emplace_back("after", lastProblem_);
    context_.events(event);
}

void RequestRelay::logAttempt(const UpstreamEnd &end) const
{
    const UpstreamPointer &upstream = target();
    const NotRunProof proof = proofOf(end);
    const Verdict verdict = proof == NotRunProof::None ? end.verdict : Verdict::NotRun;
    Event event{
        &events::attemptEnded,
        {{"request", inbound_.id},
         {"upstream", upstream->entry.id},
         {"step", attempt_.isPrefill ? "prefill" : "run"},
         {"end", std::string(upstreamEndKindNames.name(end.kind))},
         {"status", std::to_string(attempt_.status)},
         {"verdict", std::string(verdictNames.name(verdict))},
         {"proof", std::string(notRunProofNames.name(proof))},
         {"identity", attempt_.isIdentified ? "stated" : "none"},
         {"reason", attempt_.mismatch.empty() ? end.lastReason.toString() : attempt_.mismatch},
         {"response", openResponse_ ? "open" : "none"},
         {"connection_requests", std::to_string(end.connectionRequests)},
         {"elapsed_ms", text(context_.now() - arrivedAt_)}}};
    if (!attempt_.traits.backoffText.empty())
        event.fields.emplace_back("retry_after", attempt_.traits.backoffText);
    // Distinguishes a request that crashes one upstream after another from upstreams that fail by
    // themselves.
    if (end.kind == UpstreamEndKind::Broken) {
        event.fields.emplace_back("content", contents().request().text());
        if (inbound_.prompt)
            event.fields.emplace_back("parts", sharedPartsText(contents()));
        if (isTrial_)
            event.fields.emplace_back("trial", "yes");
    }
    context_.events(event);
}

const char *RequestRelay::lateness() const
{
    const Millis now = context_.now();
    const Millis firstAt = stream_.eventCount > 0 ? stream_.firstAt : now;
    if (firstAt - arrivedAt_ > route_->goal)
        return "first-event";
    return stream_.longestPause > route_->gapGoal ? "pause" : "no";
}

void RequestRelay::logEnd(const EventKind &kind, int status, std::optional<GiveUpCause> cause,
                          const std::string &why) const
{
    const Verdict verdict = hasStarted_ ? Verdict::Ran
        : evidence_.mayHaveRun()        ? Verdict::MayHaveRun
                                        : Verdict::NotRun;
    Event event{
        &kind,
        {{"request", inbound_.id},
         {"route", route_ == nullptr ? "" : route_->name},
         {"customer", customer_},
         {"status", std::to_string(status)},
         {"verdict", std::string(verdictNames.name(verdict))},
         {"elapsed_ms", text(context_.now() - arrivedAt_)},
         {"configuration", index_ == nullptr ? "none" : std::to_string(index_->version())}}};
    if (stream_.eventCount > 0) {
        event.fields.emplace_back("events", std::to_string(stream_.eventCount));
        event.fields.emplace_back("first_event_ms", text(stream_.firstAt - arrivedAt_));
        event.fields.emplace_back("longest_pause_ms", text(stream_.longestPause));
    }
    if (&kind == &events::requestServed)
        event.fields.emplace_back("late", lateness());
    if (cause) {
        event.fields.emplace_back("cause", std::string(giveUpCauseNames.name(*cause)));
        event.fields.emplace_back("reason", why);
    }
    context_.events(event);
}

} // namespace cuminrail
