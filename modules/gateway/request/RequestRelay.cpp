#include "gateway/request/RequestRelay.h"

#include "core/events/EventCatalogue.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** The answer must still reach the caller before it stops waiting: a few network delays. */
constexpr Millis answerTravel = Millis(30);
/** With less time than this left no upstream can do anything useful. */
constexpr Millis leastUseful = Millis(20);
/**
    An idle engine's first event takes 45 to 80 ms, more while others run there. A repeat with less
    time than this would use up the limit for nothing.
*/
constexpr Millis leastUsefulRepeat = Millis(150);
/** Connections refused or unanswered before a request is given up; none of them reached anyone. */
constexpr int mostConnectFailures = 4;
/** Refusals after which a request is given up: its service has no room. */
constexpr int mostRefusals = 2;
/**
    Upstreams close idle connections at times of their own. What is sent into one that is being
    closed is lost, and a request that may not run twice cannot be sent again.
*/
constexpr Millis idleForUnrepeatable = Millis(300);
constexpr Millis idleForRepeatable = Millis(4000);
/** The least a stream may pause before an upstream counts as silent, where others could go on. */
constexpr Millis leastStreamPatience = Millis(1500);
/** An upstream that showed something to any request within this long counts as alive. */
constexpr Millis progressSpan = Millis(700);
/**
    The same for a reader: one instance's share of its answers is small, and a prompt of 50,000
    tokens takes 1.5 s by itself. Left sooner, busy readers lost work that they had done.
*/
constexpr Millis readerProgressSpan = Millis(2500);
constexpr int configurationMissingRetryMs = 500;
constexpr int usualUrgency = 3;

bool isStreamRoute(const Route &route)
{
    return route.kind == RouteKind::Stream;
}

} // namespace

RequestRelay::RequestRelay(RelayContext &context, std::shared_ptr<HttpExchange> exchange)
    : context_(context), exchange_(std::move(exchange)),
      deadline_(context.deadlines, [this] { onDeadline(); }),
      silence_(context.deadlines, [this] { onSilence(); }),
      heldLook_(context.deadlines,
                [this] {
                    const auto self = shared_from_this();
                    dispatch();
                }),
      events_([this](const SseEvent &event) { onEvent(event); })
{
    ++context_.counters.inProgress;
}

RequestRelay::~RequestRelay()
{
    --context_.counters.inProgress;
}

void RequestRelay::start()
{
    ++context_.counters.requests;
    arrivedAt_ = context_.now();
    if (!judge())
        return;
    exchange_->onCallerLeft([self = shared_from_this()] { self->onCallerLeft(); });
    askQuota();
}

bool RequestRelay::judge()
{
    index_ = context_.index;
    Reason reason;
    auto inbound = context_.wire.decodeRequest(exchange_->head(), &reason);
    if (inbound)
        inbound_ = std::move(*inbound);
    if (index_ == nullptr) {
        refuse(503, GiveUpCause::NoConfiguration, Millis(configurationMissingRetryMs),
               "no configuration is known here yet");
        return false;
    }
    if (!inbound) {
        refuse(400, GiveUpCause::Malformed, std::nullopt, reason.toString());
        return false;
    }
    const std::string *host = exchange_->head().find("Host");
    route_ = index_->find(host == nullptr ? "" : *host, exchange_->head().path());
    if (route_ == nullptr) {
        refuse(404, GiveUpCause::NoRoute, std::nullopt, "no route has this host and path");
        return false;
    }
    if (!identifyCaller())
        return false;
    service_ = RouteIndex::target(*route_, inbound_.id);
    lastEvent_ = inbound_.resumeAfter;
    const Millis patience = inbound_.patience ? *inbound_.patience - answerTravel : route_->timeout;
    endsAt_ = arrivedAt_ + std::min(patience, route_->timeout);
    deadline_.setAt(endsAt_);
    return true;
}

bool RequestRelay::identifyCaller()
{
    int priority = route_->priority;
    if (!route_->isOpen && !index_->configuration().customers.empty()) {
        const RouteIndex::Caller *caller = index_->caller(inbound_.key);
        if (caller == nullptr) {
            refuse(401, GiveUpCause::UnknownKey, std::nullopt, "the key is not known");
            return false;
        }
        customer_ = caller->customer;
        priority = caller->priority.value_or(priority);
    }
    urgency_ = std::clamp(usualUrgency + priority, 0, 9);
    return true;
}

void RequestRelay::dispatch()
{
    if (isOver_)
        return;
    attempt_ = Attempt();
    const bool isRepeat = sends_ + refusals_ > 0;
    const Millis least = isRepeat && route_->hasPrompts ? leastUsefulRepeat : leastUseful;
    if (endsAt_ - context_.now() < least)
        return giveUp(GiveUpCause::TimeOver, "no time is left");
    if (connectFailures_ >= mostConnectFailures)
        return giveUp(GiveUpCause::Unreachable, "upstreams cannot be reached");
    if (refusals_ > mostRefusals)
        return giveUpAsBefore();
    if (isRepeat && !mayRepeat())
        return giveUpAsBefore();
    if (!choose())
        return giveUpAsBefore();
    // Engines that are known to be busy need not be asked of again.
    if (!isRepeat && ((wasAsked_ && isKeptBack()) || asksBooks() || isKeptBack()))
        return;
    sendChosen();
}

void RequestRelay::sendChosen()
{
    releaseHeld();
    if (attempt_.choice && attempt_.choice->prefill)
        sendPrefill();
    else
        sendRun({});
}

bool RequestRelay::mayRepeat()
{
    return sends_ < route_->maxAttempts && takeRepeat();
}

bool RequestRelay::takeRepeat()
{
    if (!context_.retries.takeRepeat(service_, context_.now())) {
        lastCause_ = GiveUpCause::RepeatLimit;
        lastProblem_ += ", and the limit on repeats is reached";
        return false;
    }
    ++context_.counters.repeats;
    return true;
}

bool RequestRelay::choose()
{
    const auto &upstreams = context_.directory.usable(service_);
    if (route_->hasPrompts && inbound_.prompt)
        return choosePrompt(upstreams);
    return choosePlain(upstreams);
}

PlacementQuery RequestRelay::placementQuery() const
{
    PlacementQuery query;
    query.prompt = &*inbound_.prompt;
    query.bodyBytes = exchange_->body().size();
    query.ownDomain = context_.settings.failureDomain;
    query.tried = &tried_;
    query.now = context_.now();
    query.allowsHandOver = isHandOverAllowed_;
    query.badShare = [this](const std::string &id) { return context_.health.badShare(id); };
    query.isSetAside = [this](const std::string &id) {
        return context_.health.isSetAside(id, context_.now());
    };
    query.offer = [this](const std::string &id) {
        const auto found = offers_.find(id);
        return found == offers_.end() ? std::nullopt : std::optional<ReadingOffer>(found->second);
    };
    return query;
}

bool RequestRelay::choosePrompt(const std::vector<UpstreamPointer> &upstreams)
{
    attempt_.choice = context_.engines.choose(upstreams, placementQuery());
    // Only the first reading apart is free of charge. Another one is a send more, beside the run
    // that follows; unnoticed, such sends took the whole system past its limit on repeats.
    const bool isReadAgain = attempt_.choice && attempt_.choice->prefill && wasReadApart_;
    if (isReadAgain && !context_.retries.takeRepeat(service_, context_.now())) {
        isHandOverAllowed_ = false;
        attempt_.choice = context_.engines.choose(upstreams, placementQuery());
    }
    if (!attempt_.choice)
        return false;
    attempt_.upstream = attempt_.choice->engine;
    return true;
}

bool RequestRelay::choosePlain(const std::vector<UpstreamPointer> &upstreams)
{
    LeastLoaded::Query query;
    query.ownDomain = context_.settings.failureDomain;
    query.tried = &tried_;
    query.badShare = [this](const std::string &id) { return context_.health.badShare(id); };
    query.isSetAside = [this](const std::string &id) {
        return context_.health.isSetAside(id, context_.now());
    };
    attempt_.upstream = context_.services.choose(upstreams, query);
    return attempt_.upstream != nullptr;
}

OutboundFields RequestRelay::outbound(const UpstreamEntry &upstream) const
{
    OutboundFields fields;
    fields.timeLeft = endsAt_ - context_.now();
    fields.upstreamId = upstream.id;
    fields.customer = customer_;
    fields.resumeAfter = lastEvent_;
    if (route_->hasPrompts)
        fields.urgency = urgency();
    return fields;
}

int RequestRelay::urgency() const
{
    // A request whose goal is out of reach would push others past theirs, and all would be late.
    const auto expected =
        static_cast<std::int64_t>(attempt_.choice ? attempt_.choice->firstEventMillis : 0);
    const Millis reached = context_.now() - arrivedAt_ + Millis(expected);
    const bool isHopeless = attempt_.isPrefill && reached > route_->goal;
    const int late = static_cast<int>(context_.settings.decisions.lateUrgency);
    return isHopeless ? late : urgency_;
}

Millis RequestRelay::patience() const
{
    const Millis left = endsAt_ - context_.now();
    // Silence ends an attempt early only where another upstream may take over.
    const bool hasAnother = route_->isRepeatable() && sends_ + 1 < route_->maxAttempts;
    if (!hasAnother)
        return left + Millis(1000);
    return std::max(route_->goal, left * 2 / 5);
}

void RequestRelay::sendRun(std::string cacheSource)
{
    attempt_.isPrefill = false;
    if (!isFirstCounted_) {
        isFirstCounted_ = true;
        context_.retries.countFirst(service_, context_.now());
    }
    OutboundFields fields = outbound(attempt_.upstream->entry);
    if (!cacheSource.empty())
        context_.engines.handedOver(*attempt_.choice, *inbound_.prompt, context_.now());
    fields.cacheSource = std::move(cacheSource);
    events_.restart();
    send(attempt_.upstream, fields, patience());
}

void RequestRelay::send(const UpstreamPointer &upstream, const OutboundFields &fields,
                        Millis patience)
{
    UpstreamRequest request;
    request.address = upstream->entry.address;
    request.wire =
        context_.wire.encodeRequest(exchange_->head(), exchange_->body(), inbound_, fields);
    request.requestId = inbound_.id;
    request.identityHeader = context_.wire.identityHeader;
    // Refusals need not repeat the identity; onHead() asks for it from all other answers.
    request.isEchoRequired = false;
    request.isHead = exchange_->head().method == "HEAD";
    request.allowsEndByClose = true;
    request.longestIdle = route_->isRepeatable() ? idleForRepeatable : idleForUnrepeatable;
    request.timeouts.connect = std::min(connectPatience, fields.timeLeft);
    // Without any sign of an answer, onSilence() decides; this only ends what it leaves.
    request.timeouts.firstByte = fields.timeLeft + Millis::seconds(1);
    request.timeouts.stall = patience;
    silence_.setAfter(patience);
    if (isStreamRoute(*route_) && !attempt_.isPrefill)
        request.timeouts.stall = std::max(leastStreamPatience, route_->gapGoal * 4);
    const bool isNewAttempt = attempt_.isPrefill || !attempt_.isCounted;
    if (isNewAttempt) {
        attempt_.isCounted = true;
        if (attempt_.choice)
            context_.engines.dispatched(*attempt_.choice, *inbound_.prompt, context_.now());
        else
            context_.services.started(upstream->entry.id);
        attempt_.sentAt = context_.now();
    }
    context_.health.started(upstream->entry.id, context_.now());
    if (!wasSent_) {
        wasSent_ = true;
        context_.metrics.firstSent((context_.now() - arrivedAt_).toSeconds());
    }
    ++context_.counters.sends;
    logPlaced(upstream->entry);
    call_ = context_.pool.start(std::move(request), hooks());
}

UpstreamHooks RequestRelay::hooks()
{
    const auto self = shared_from_this();
    UpstreamHooks hooks;
    hooks.onHead = [self](HttpHead &head) { self->onHead(head); };
    hooks.onBody = [self](std::string_view data) { self->onBody(data); };
    hooks.onEnd = [self](const UpstreamEnd &end) { self->onEnd(end); };
    return hooks;
}

void RequestRelay::onEnd(const UpstreamEnd &end)
{
    silence_.clear();
    if (isOver_)
        return;
    const bool isPlainSuccess = end.kind == UpstreamEndKind::Complete && attempt_.status < 400;
    if (!isPlainSuccess || attempt_.isForeign)
        logAttempt(end);
    if (attempt_.isPrefill)
        prefillEnded(end);
    else
        runEnded(end);
}

void RequestRelay::runEnded(const UpstreamEnd &end)
{
    const bool isWhole = end.kind == UpstreamEndKind::Complete && !attempt_.isForeign
        && !(attempt_.isStreaming && events_.hasPartial());
    if (isWhole && attempt_.traits.isRefusedUnrun)
        return refusedUnrun();
    if (isWhole)
        return answered();
    attemptFailed(end);
}

void RequestRelay::refusedUnrun()
{
    // The upstream's own word that it did not run the request: it uses up no attempt, only a part
    // of the limit on repeats.
    ++refusals_;
    const std::string &id = attempt_.upstream->entry.id;
    if (attempt_.traits.isOtherUpstream)
        context_.directory.markMisplaced(id);
    else
        recordSign(AttemptSign::Full);
    if (attempt_.choice)
        context_.engines.refused(id, context_.now());
    lastCause_ = GiveUpCause::Full;
    lastProblem_ = "the upstream refused it";
    tried_.insert(id);
    // An engine that is full or changes its stage refuses what another could fetch and run; the
    // prompt would otherwise have been read for nothing. The refusal was a send, so this is one
    // more.
    if (!handle_.empty() && refusals_ == 1 && hasOtherRunner() && takeRepeat())
        return runElsewhere();
    releaseHandle();
    settleAttempt();
    isHandOverAllowed_ = false;
    dispatch();
}

void RequestRelay::attemptFailed(const UpstreamEnd &end)
{
    lastProblem_ =
        std::string(upstreamEndKindNames.name(end.kind)) + ": " + end.lastReason.toString();
    recordSign(AttemptSign::Broken);
    tried_.insert(attempt_.upstream->entry.id);
    const bool mayHaveRun = end.verdict != Verdict::NotRun;
    lastCause_ = mayHaveRun ? GiveUpCause::Broken : GiveUpCause::Unreachable;
    if (mayHaveRun) {
        ++sends_;
        mayHaveRun_ = true;
        // Without a sign of the upstream a run cannot be ruled out; a usage report counts it only
        // when the upstream showed that it began.
        handle_.clear();
    } else {
        ++connectFailures_;
        // Nothing reached that engine, so what was read apart can be run by another one, as the
        // first send still.
        if (!handle_.empty() && connectFailures_ < mostConnectFailures && hasOtherRunner())
            return runElsewhere();
        releaseHandle();
    }
    settleAttempt();
    if (mayHaveRun && !route_->isRepeatable())
        return giveUpAsBefore();
    if (isAnswering_)
        ++context_.counters.resumes;
    dispatch();
}

void RequestRelay::answered()
{
    const bool isFailure = attempt_.status >= 500;
    recordSign(isFailure ? AttemptSign::Failure : AttemptSign::Good);
    if (attempt_.status < 400 || isFailure)
        began();
    promptRead();
    handle_.clear();
    ++sends_;
    mayHaveRun_ = true;
    const bool couldImprove = isFailure && route_->kind == RouteKind::Safe
        && sends_ < route_->maxAttempts && endsAt_ - context_.now() > route_->goal / 2;
    if (couldImprove && context_.directory.usable(service_).size() > 1
        && context_.retries.takeRepeat(service_, context_.now())) {
        tried_.insert(attempt_.upstream->entry.id);
        lastCause_ = GiveUpCause::Broken;
        lastProblem_ = "the upstream answered " + std::to_string(attempt_.status);
        Attempt failed = std::move(attempt_);
        attempt_ = Attempt();
        attempt_.upstream = failed.upstream;
        context_.services.finished(failed.upstream->entry.id);
        if (choose()) {
            ++context_.counters.repeats;
            return sendRun({});
        }
        context_.services.started(failed.upstream->entry.id);
        attempt_ = std::move(failed);
    }
    settleAttempt();
    if (attempt_.isStreaming) {
        if (!isAnswering_)
            exchange_->beginStream(attempt_.status, attempt_.headers);
        exchange_->finish();
    } else {
        firstAnswer();
        HttpAnswer answer;
        answer.status = attempt_.status;
        answer.headers = std::move(attempt_.headers);
        answer.body = std::move(attempt_.body);
        exchange_->respond(answer);
    }
    ++(attempt_.status < 400 ? context_.counters.served : context_.counters.failed);
    logEnd(events::requestServed, attempt_.status);
    over(attempt_.status < 400 ? RequestOutcome::Served : RequestOutcome::UpstreamError);
}

void RequestRelay::onDeadline()
{
    if (isOver_)
        return;
    const auto self = shared_from_this();
    ++context_.counters.timeouts;
    if (call_.isActive()) {
        const bool mayRun = call_.verdictSoFar() != Verdict::NotRun && !attempt_.isPrefill;
        mayHaveRun_ = mayHaveRun_ || mayRun;
        call_.cancel();
    }
    releaseHandle();
    settleAttempt();
    giveUp(GiveUpCause::TimeOver, "the time for it is over");
}

void RequestRelay::onSilence()
{
    if (isOver_ || !call_.isActive())
        return;
    const UpstreamPointer &upstream =
        attempt_.isPrefill ? attempt_.choice->prefill : attempt_.upstream;
    // An upstream that answers others is busy, not dead. Sent elsewhere, the request would lose
    // its place, and the work done for it, just when there is too little of both.
    const Millis span = attempt_.isPrefill ? readerProgressSpan : progressSpan;
    if (context_.health.hasProgressed(upstream->entry.id, span, context_.now())) {
        silence_.setAfter(progressSpan);
        return;
    }
    const auto self = shared_from_this();
    const Verdict verdict = call_.verdictSoFar();
    call_.cancel();
    onEnd(UpstreamEnd{
        UpstreamEndKind::Silent, verdict, {upstream->entry.address, "no answer in time"}});
}

void RequestRelay::onCallerLeft()
{
    if (isOver_)
        return;
    const auto self = shared_from_this();
    ++context_.counters.callersLeft;
    logEnd(events::callerLeft, 0);
    // Nobody waits any more: the upstream's work is ended with its connection.
    call_.cancel();
    releaseHandle();
    settleAttempt();
    over(RequestOutcome::CallerLeft);
}

} // namespace cuminrail
