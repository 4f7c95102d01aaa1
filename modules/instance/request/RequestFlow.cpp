#include "instance/request/RequestFlow.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "dispatch/retry/RetryPolicy.h"
#include "instance/request/RequestHeaders.h"
#include "instance/request/RequestWorker.h"
#include "instance/request/UpstreamWire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminrail {

namespace {

constexpr std::uint32_t maxResumes = 2;
constexpr Millis retryAfterFailure = Millis::seconds(1);
/** Time-out of a claim decision. The request is refused then, so that the caller can proceed. */
constexpr Millis claimTimeout = Millis::seconds(5);

/** Returns true for a status by which an engine signals that it did not start the request. */
bool isRefusalBeforeRunning(int status)
{
    return status == 429 || status == 503;
}

ErrorCode errorCodeFor(RefusalCode code)
{
    switch (code) {
    case RefusalCode::RateLimited:
        return ErrorCode::RateLimited;
    case RefusalCode::ConcurrencyLimited:
        return ErrorCode::ConcurrencyLimited;
    case RefusalCode::DeadlineUnreachable:
        return ErrorCode::DeadlineUnreachable;
    case RefusalCode::Overloaded:
        break;
    }
    return ErrorCode::Overloaded;
}

std::string_view errorMessageFor(RefusalCode code)
{
    switch (code) {
    case RefusalCode::RateLimited:
        return "the customer's rate is used up";
    case RefusalCode::ConcurrencyLimited:
        return "the customer has as many requests in progress as it may";
    case RefusalCode::DeadlineUnreachable:
        return "the answer cannot be there by the deadline";
    case RefusalCode::Overloaded:
        break;
    }
    return "there is more work than the upstreams can do now";
}

Refusal claimRefusal(const ClaimResult &result)
{
    switch (result.decision) {
    case ClaimDecision::InProgress:
        return {ErrorCode::InProgress,
                "a call with this Idempotency-Key is in progress",
                {},
                Verdict::MayHaveRun,
                retryAfterFailure};
    case ClaimDecision::MayHaveRun:
        return {ErrorCode::MayHaveRun,
                "an earlier call with this Idempotency-Key may have run; it is not sent again",
                {},
                Verdict::MayHaveRun};
    case ClaimDecision::RanUnstored:
        return {ErrorCode::MayHaveRun,
                "an earlier call with this Idempotency-Key ran; its answer was too large to keep",
                {},
                Verdict::Ran};
    case ClaimDecision::KeyReused:
        return {ErrorCode::IdempotencyKeyReused, "the Idempotency-Key belongs to another request",
                "Idempotency-Key"};
    case ClaimDecision::Run:
    case ClaimDecision::Replay:
    case ClaimDecision::Unavailable:
        break;
    }
    return {ErrorCode::ClaimsUnavailable,
            "the call cannot be kept from running twice at the moment, so it was not sent",
            {},
            Verdict::NotRun,
            retryAfterFailure * 5};
}

} // namespace

RequestFlow::RequestFlow(RequestWorker &worker, std::shared_ptr<HttpExchange> exchange)
    : worker_(worker), exchange_(std::move(exchange)), requestId_(worker.nextRequestId()),
      relay_(exchange_, requestId_), deadline_(worker.deadlines(), [this] { onDeadline(); })
{
    RequestCounters::add(worker_.counters().requests);
    RequestCounters::add(worker_.counters().inProgress);
}

RequestFlow::~RequestFlow()
{
    RequestCounters::add(worker_.counters().inProgress, static_cast<std::uint64_t>(-1));
}

Millis RequestFlow::now() const
{
    return worker_.deadlines().now();
}

void RequestFlow::start()
{
    if (!makePlan())
        return;
    if (plan_.kind == RequestKind::ModelList)
        return listModels();
    exchange_->onCallerDisconnected([self = weak_from_this()] {
        if (const auto flow = self.lock())
            flow->onCallerDisconnected();
    });
    if (plan_.deadline != Millis::never())
        deadline_.setAt(plan_.deadline);
    if (plan_.kind == RequestKind::Service && !plan_.isIdempotent && !plan_.idempotencyKey.empty())
        return claim();
    admit();
}

bool RequestFlow::makePlan()
{
    Refusal refusal;
    const RcuReadScope scope;
    const ServingSnapshot &snapshot = worker_.context().snapshot.get(scope);
    auto plan = planRequest(exchange_->head(), exchange_->body(), snapshot, now(), &refusal);
    if (!plan) {
        refuse(refusal);
        return false;
    }
    plan_ = std::move(*plan);
    return true;
}

void RequestFlow::listModels()
{
    nlohmann::json list{{"object", "list"}, {"data", nlohmann::json::array()}};
    {
        const RcuReadScope scope;
        const ServingSnapshot &snapshot = worker_.context().snapshot.get(scope);
        for (const ModelId &model : snapshot.routing.modelsOf(plan_.caller.index))
            list["data"].push_back(
                {{"id", model.text()}, {"object", "model"}, {"owned_by", "cuminrail"}});
    }
    HttpResponse httpResponse;
    httpResponse.headers = {{"Content-Type", "application/json"},
                            {"X-Request-Id", requestId_},
                            {"X-Cuminrail-Verdict", std::string(verdictNames.name(Verdict::Ran))}};
    httpResponse.body = list.dump();
    RequestCounters::add(worker_.counters().answered);
    exchange_->respond(httpResponse);
    endFlow();
}

void RequestFlow::claim()
{
    const ClaimHooks &claims = worker_.context().claims;
    if (!claims.begin || !guardEnabled(Guard::ClaimBeforeDispatch))
        return guardEnabled(Guard::ClaimBeforeDispatch) ? onClaim(ClaimResult{}) : admit();
    stage_ = Stage::Claiming;
    ClaimRequest request;
    request.customer = plan_.caller.id;
    request.keySha256 = KeyHash::of(plan_.idempotencyKey).toHex();
    const HttpHead &head = exchange_->head();
    request.requestSha256 =
        KeyHash::of(head.method + "\n" + head.target + "\n" + exchange_->body()).toHex();
    request.deadline = std::min(plan_.deadline, now() + claimTimeout);
    claims.begin(request, claimCompletion());
}

ClaimManager::Completion RequestFlow::claimCompletion()
{
    return [&worker = worker_, flow = weak_from_this()](const ClaimResult &result) {
        worker.post([&worker, flow, result] {
            if (const auto self = flow.lock())
                return self->onClaim(result);
            // The flow has ended and the call was never sent. Without this outcome in the claim, a
            // duplicate from the caller would be answered with "may have run".
            if (result.decision == ClaimDecision::Run)
                worker.context().claims.finish(result.token, ClaimOutcome{Verdict::NotRun, {}});
        });
    };
}

void RequestFlow::onClaim(const ClaimResult &result)
{
    if (result.decision == ClaimDecision::Run)
        claimToken_ = result.token;
    if (result.decision == ClaimDecision::Replay)
        return replay(result.response);
    if (result.decision != ClaimDecision::Run)
        return refuse(claimRefusal(result));
    admit();
}

void RequestFlow::replay(const StoredResponse &storedResponse)
{
    HttpResponse httpResponse;
    httpResponse.status = static_cast<int>(storedResponse.status);
    if (!storedResponse.contentType.empty())
        httpResponse.headers.push_back({"Content-Type", storedResponse.contentType});
    httpResponse.headers.push_back({"X-Request-Id", requestId_});
    httpResponse.headers.push_back(
        {"X-Cuminrail-Verdict", std::string(verdictNames.name(Verdict::Ran))});
    httpResponse.headers.push_back({"X-Idempotent-Replay", "true"});
    httpResponse.body = storedResponse.body;
    RequestCounters::add(worker_.counters().answered);
    exchange_->respond(httpResponse);
    endFlow();
}

void RequestFlow::admit()
{
    stage_ = Stage::Queued;
    AdmissionRequest request;
    request.customer = plan_.caller.index;
    request.pool = plan_.pool;
    request.priority = plan_.priority;
    request.promptTokens = plan_.promptTokens;
    request.maxOutputTokens = plan_.maxOutputTokens;
    request.deadline = plan_.deadline;
    const auto hook = [&worker = worker_, flow = weak_from_this()](const AdmissionEnd &end) {
        worker.post([flow, end] {
            if (const auto self = flow.lock())
                self->onAdmission(end);
        });
    };
    const AdmissionDecision decision = worker_.admission().submit(request, now(), hook);
    admissionTicket_ = decision.ticket;
    expectedOutput_ = decision.expectedOutputTokens;
    if (decision.kind == AdmissionKind::Admitted)
        return dispatch();
    if (decision.kind == AdmissionKind::Refused)
        onAdmission(AdmissionEnd{false, decision.code, decision.retryAfter});
}

void RequestFlow::onAdmission(const AdmissionEnd &end)
{
    if (stage_ != Stage::Queued)
        return;
    if (end.isAdmitted)
        return dispatch();
    admissionTicket_ = 0;
    refuse({errorCodeFor(end.code),
            std::string(errorMessageFor(end.code)),
            {},
            Verdict::NotRun,
            end.retryAfter});
}

RoutingRequest RequestFlow::routingRequest(const ServingSnapshot &snapshot) const
{
    RoutingRequest request;
    request.pool = plan_.pool;
    request.customer = plan_.caller.index;
    request.adapter = plan_.adapter;
    request.domain = snapshot.ownDomain;
    request.priority = plan_.priority;
    request.promptTokens = plan_.promptTokens;
    request.expectedOutputTokens = expectedOutput_;
    request.prefixes = &plan_.prefixes;
    request.repeatable = plan_.isIdempotent;
    if (plan_.deadline != Millis::never())
        request.slack = plan_.deadline - now();
    request.tried = tried_;
    return request;
}

void RequestFlow::dispatch()
{
    stage_ = Stage::Running;
    const RcuReadScope scope;
    const ServingSnapshot &snapshot = worker_.context().snapshot.get(scope);
    // The key may have been withdrawn while the request was queued.
    if (!isKeyStillValid(plan_.caller, snapshot))
        return refuse({ErrorCode::InvalidKey, "a valid key is needed", "Authorization", verdict_});
    const RoutingRequest request = routingRequest(snapshot);
    Reason reason;
    Router &router = worker_.context().router;
    const auto choice = router.choose(request, snapshot.routing, now(), worker_.random(), &reason);
    if (!choice)
        return failAfterAttempts({ErrorCode::NoUpstream,
                                  "no upstream can take the request now",
                                  {},
                                  Verdict::NotRun,
                                  retryAfterFailure});
    worker_.sampleDecision(request, *choice, snapshot.routing);
    routingTicket_ = router.started(request, *choice, snapshot.routing, now());
    tried_[attempts_ % tried_.size()] = choice->upstream;
    startAttempt(snapshot.routing.upstream(choice->upstream).address);
}

void RequestFlow::startAttempt(const std::string &address)
{
    ++attempts_;
    RequestCounters::add(worker_.counters().attempts);
    if (attempts_ == 1)
        worker_.context().retryBudget.countFirstAttempt();
    else
        RequestCounters::add(worker_.counters().retries);
    attemptId_ = requestId_ + "-" + std::to_string(attempts_);
    address_ = address;
    call_ = worker_.pool().start(upstreamRequest(address), attemptHooks());
}

UpstreamRequest RequestFlow::upstreamRequest(const std::string &address) const
{
    const InstanceConfig &config = worker_.context().config;
    UpstreamRequest request;
    request.address = address;
    request.requestId = attemptId_;
    request.timeouts.connect = config.connectTimeout;
    request.timeouts.firstByte = config.firstByteTimeout;
    request.timeouts.stall = config.upstreamStallTimeout;
    if (plan_.kind == RequestKind::Completion) {
        request.wire = completionWire(plan_, attemptId_, address, exchange_->body());
        return request;
    }
    request.wire = serviceWire(plan_, exchange_->head(), attemptId_, address, exchange_->body());
    request.isEchoRequired = false;
    request.isHead = exchange_->head().method == "HEAD";
    // If the service is closing an idle pooled connection at this moment, the connection breaks
    // after the first byte was sent, and a call that is not idempotent cannot be retried. A fresh
    // connection avoids this at the cost of one round trip.
    request.needsFreshConnection = !plan_.isIdempotent;
    request.timeouts.firstByte = plan_.serviceTimeout;
    return request;
}

UpstreamHooks RequestFlow::attemptHooks()
{
    UpstreamHooks hooks;
    hooks.onHead = [flow = weak_from_this()](HttpHead &head) {
        if (const auto self = flow.lock())
            self->relay_.onHead(head);
    };
    hooks.onBody = [flow = weak_from_this()](std::string_view data) {
        if (const auto self = flow.lock())
            self->onResponseBody(data);
    };
    hooks.onEnd = [flow = weak_from_this()](const UpstreamEnd &end) {
        if (const auto self = flow.lock())
            self->onAttemptEnd(end);
    };
    return hooks;
}

void RequestFlow::onResponseBody(std::string_view data)
{
    const auto self = shared_from_this();
    if (!hasFirstByte_) {
        hasFirstByte_ = true;
        worker_.counters().countFirstByte((now() - plan_.startedAt).count());
        worker_.context().router.firstToken(routingTicket_, now());
        if (admissionTicket_ != 0)
            worker_.admission().firstToken(admissionTicket_, now());
    }
    const bool isValid = relay_.onBody(data);
    if (!isValid) {
        cancelAtEngine();
        releaseRoute(UpstreamOutcome::Failure);
        verdict_ = Verdict::MayHaveRun;
        return onFailedAttempt({Verdict::MayHaveRun, {"answer", "events out of order"}},
                               UpstreamEndKind::Malformed);
    }
    if (!relay_.isCongested() || isPaused_ || isResponseUnwanted_)
        return;
    // Backpressure: the caller reads slower than the upstream writes. Pausing leaves the unread
    // data with the upstream instead of buffering it in this process.
    isPaused_ = true;
    call_.pause();
    exchange_->onWritable([flow = weak_from_this()] {
        if (const auto lockedFlow = flow.lock()) {
            lockedFlow->isPaused_ = false;
            lockedFlow->call_.resume();
        }
    });
}

void RequestFlow::onAttemptEnd(const UpstreamEnd &end)
{
    if (stage_ == Stage::Ended)
        return;
    if (end.verdict != Verdict::NotRun)
        verdict_ = Verdict::MayHaveRun;
    if (end.kind == UpstreamEndKind::Complete)
        return onCompleteResponse();
    releaseRoute(UpstreamOutcome::Failure);
    if (relay_.isDone())
        return finish();
    onFailedAttempt({end.verdict, end.lastReason}, end.kind);
}

void RequestFlow::onCompleteResponse()
{
    const int status = relay_.status();
    const bool isCompletion = plan_.kind == RequestKind::Completion;
    const bool isServerError = isCompletion && (status >= 500 || status == 429);
    if (isServerError && !relay_.hasStarted()) {
        const bool isRefusal = isRefusalBeforeRunning(status);
        releaseRoute(isRefusal ? UpstreamOutcome::Neutral : UpstreamOutcome::Failure);
        if (isRefusal && attempts_ == 1)
            verdict_ = Verdict::NotRun;
        const Verdict verdict = isRefusal ? Verdict::NotRun : Verdict::MayHaveRun;
        return onFailedAttempt({verdict, {"answer", "status " + std::to_string(status)}},
                               UpstreamEndKind::Complete);
    }
    if (!relay_.onComplete()) {
        releaseRoute(UpstreamOutcome::Failure);
        return onFailedAttempt({Verdict::MayHaveRun, {"answer", "ended without its last event"}},
                               UpstreamEndKind::Broken);
    }
    verdict_ = Verdict::Ran;
    releaseRoute(status >= 500 ? UpstreamOutcome::Failure : UpstreamOutcome::Success);
    finish();
}

void RequestFlow::onFailedAttempt(const AttemptOutcome &outcome, UpstreamEndKind kind)
{
    if (relay_.hasStarted() && relay_.isEventStream() && tryResume())
        return;
    RetryTraits traits;
    traits.idempotent = plan_.isIdempotent;
    traits.responseStarted = relay_.hasStarted();
    traits.deadline = plan_.deadline;
    traits.attemptsMade = attempts_;
    const bool isResponseWanted = !isResponseUnwanted_;
    if (isResponseWanted
        && decideRetry(traits, outcome, now(), worker_.context().retryBudget)
            == RetryDecision::Retry) {
        if (outcome.verdict != Verdict::NotRun)
            cancelAtEngine();
        relay_.discard();
        return dispatch();
    }
    if (kind == UpstreamEndKind::Complete)
        return failAfterAttempts({ErrorCode::Overloaded,
                                  "the upstreams are full",
                                  {},
                                  Verdict::NotRun,
                                  retryAfterFailure});
    if (kind == UpstreamEndKind::Silent)
        return failAfterAttempts({ErrorCode::UpstreamTimeout, "the upstream made no progress"});
    failAfterAttempts({ErrorCode::NoUpstream,
                       "no upstream could be reached",
                       {},
                       Verdict::NotRun,
                       retryAfterFailure});
}

bool RequestFlow::tryResume()
{
    if (isResponseUnwanted_ || resumes_ >= maxResumes || relay_.nextEvent() == 0)
        return false;
    ++resumes_;
    RequestCounters::add(worker_.counters().resumes);
    relay_.prepareResume();
    const InstanceConfig &config = worker_.context().config;
    UpstreamRequest request;
    request.address = address_;
    request.requestId = attemptId_;
    request.wire = resumeWire(plan_, attemptId_, address_, relay_.nextEvent());
    // The cause of the interruption may also affect the pooled connections to this engine.
    request.needsFreshConnection = true;
    request.timeouts.connect = config.connectTimeout;
    request.timeouts.firstByte = config.upstreamStallTimeout;
    request.timeouts.stall = config.upstreamStallTimeout;
    UpstreamHooks hooks = attemptHooks();
    hooks.onHead = [flow = weak_from_this()](HttpHead &head) {
        if (const auto self = flow.lock())
            self->onResumeHead(head);
    };
    isPaused_ = false;
    call_ = worker_.pool().start(std::move(request), std::move(hooks));
    return true;
}

void RequestFlow::onResumeHead(HttpHead &head)
{
    if (AnswerRelay::announcesEvents(head))
        return relay_.onHead(head);
    const auto self = shared_from_this();
    call_.cancel();
    onFailedAttempt(
        {Verdict::MayHaveRun, {"resume", "no stream, but status " + std::to_string(head.status)}},
        UpstreamEndKind::Broken);
}

void RequestFlow::cancelAtEngine()
{
    call_.cancel();
    if (plan_.kind != RequestKind::Completion)
        return;
    // An explicit cancel, because an engine may be slow to detect a closed connection. Until then
    // the request would occupy a slot and generate tokens that are discarded.
    UpstreamRequest request;
    request.address = address_;
    request.requestId = attemptId_;
    request.wire = cancelWire(plan_, attemptId_, address_);
    request.timeouts.connect = worker_.context().config.connectTimeout;
    request.timeouts.firstByte = worker_.context().config.upstreamStallTimeout;
    worker_.pool().start(std::move(request), UpstreamHooks{});
}

void RequestFlow::releaseRoute(UpstreamOutcome outcome)
{
    if (routingTicket_.upstream == noIndex)
        return;
    worker_.context().router.finished(routingTicket_, outcome, now());
    routingTicket_ = RoutingTicket{};
}

void RequestFlow::onCallerDisconnected()
{
    const auto self = shared_from_this();
    isResponseUnwanted_ = true;
    RequestCounters::add(worker_.counters().callersLeft);
    if (stage_ == Stage::Ended)
        return;
    // A running call that is not idempotent is not cancelled: its claim needs a definite outcome,
    // so that a duplicate from the caller gets the stored response instead of "may have run".
    if (!plan_.isIdempotent && stage_ == Stage::Running) {
        call_.resume();
        return;
    }
    if (stage_ == Stage::Running) {
        if (call_.verdictSoFar() != Verdict::NotRun)
            verdict_ = Verdict::MayHaveRun;
        cancelAtEngine();
        releaseRoute(UpstreamOutcome::Neutral);
    }
    finish();
}

void RequestFlow::onDeadline()
{
    const auto self = shared_from_this();
    if (stage_ == Stage::Ended || relay_.hasStarted())
        return;
    if (stage_ != Stage::Running)
        return refuse({ErrorCode::DeadlineUnreachable,
                       "the deadline came before its turn",
                       {},
                       verdict_,
                       retryAfterFailure});
    if (call_.verdictSoFar() != Verdict::NotRun)
        verdict_ = Verdict::MayHaveRun;
    const Refusal refusal{ErrorCode::UpstreamTimeout, "no answer by the deadline", {}, verdict_};
    if (!plan_.isIdempotent) {
        // The caller gets the error now. The call continues, so that its claim gets a definite
        // outcome.
        isResponseUnwanted_ = true;
        return relay_.failAndRecord(refusal);
    }
    cancelAtEngine();
    releaseRoute(UpstreamOutcome::Neutral);
    refuse(refusal);
}

void RequestFlow::failAfterAttempts(const Refusal &refusal)
{
    Refusal reported = refusal;
    reported.verdict = verdict_;
    const bool mayHaveRun = verdict_ != Verdict::NotRun;
    if (mayHaveRun && errorStatus(reported.code) == 503) {
        reported.code = ErrorCode::UpstreamFailed;
        reported.message = "the connection to the upstream broke after the request had been sent";
        reported.retryAfter = Millis(0);
    }
    if (!mayHaveRun && reported.code == ErrorCode::UpstreamTimeout) {
        reported.code = ErrorCode::NoUpstream;
        reported.retryAfter = retryAfterFailure;
    }
    refuse(reported);
}

void RequestFlow::refuse(const Refusal &refusal)
{
    RequestCounters::add(worker_.counters().errors[static_cast<std::size_t>(refusal.code)]);
    worker_.reportRefusal(requestId_, plan_.caller.id, refusal);
    if (relay_.hasStarted())
        RequestCounters::add(worker_.counters().truncated);
    relay_.fail(refusal);
    finish();
}

} // namespace cuminrail
