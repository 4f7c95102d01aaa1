#include "scenario/world/ScenarioCalls.h"

namespace cuminrail {

namespace {

constexpr Millis claimDeadline = Millis::seconds(5);
constexpr Millis callDeadline = Millis::seconds(10);

ClaimManager::Config claimConfig(const InstanceIncarnation &self)
{
    ClaimManager::Config config;
    config.instance = self.instance;
    config.incarnation = self.incarnation;
    return config;
}

} // namespace

ScenarioCalls::ScenarioCalls(const InstanceIncarnation &self, Hooks hooks)
    : hooks_(std::move(hooks)),
      claims_(claimConfig(self), hooks_.store, hooks_.random, ignoreEvents(), hooks_.isGone)
{ }

void ScenarioCalls::begin(const ScenarioCall &call)
{
    ActiveCall active;
    active.call = call;
    active.traits.idempotent = call.isIdempotent;
    active.traits.deadline = hooks_.clock.now() + callDeadline;
    ++activeCalls_;
    retryBudget_.countFirstAttempt();
    if (call.isIdempotent) {
        send(active);
        return;
    }
    ClaimRequest request;
    request.customer = CustomerId(call.customer);
    request.keySha256 = call.work;
    request.requestSha256 = call.work;
    request.deadline = hooks_.clock.now() + claimDeadline;
    claims_.begin(request,
                  [this, active](const ClaimResult &result) { handleClaimResult(active, result); });
}

void ScenarioCalls::handleClaimResult(ActiveCall active, const ClaimResult &result)
{
    switch (result.decision) {
    case ClaimDecision::Run:
        active.claimToken = result.token;
        send(active);
        return;
    case ClaimDecision::Replay:
    case ClaimDecision::RanUnstored:
        respond(active, Verdict::Ran, result.response.body);
        return;
    case ClaimDecision::InProgress:
    case ClaimDecision::MayHaveRun:
        respond(active, Verdict::MayHaveRun, "");
        return;
    case ClaimDecision::KeyReused:
    case ClaimDecision::Unavailable:
        respond(active, Verdict::NotRun, "");
        return;
    }
}

void ScenarioCalls::send(const ActiveCall &active)
{
    ServiceRun run;
    run.attempt = active.call.attempt;
    run.customer = active.call.customer;
    run.work = active.call.work;
    hooks_.send(run, [this, active](const ServiceReply &reply) { handleReply(active, reply); });
}

void ScenarioCalls::handleReply(ActiveCall active, const ServiceReply &reply)
{
    if (reply.verdict != Verdict::Ran) {
        AttemptOutcome outcome;
        outcome.verdict = reply.verdict;
        const RetryDecision decision =
            decideRetry(active.traits, outcome, hooks_.clock.now(), retryBudget_);
        if (decision == RetryDecision::Retry) {
            ++active.traits.attemptsMade;
            send(active);
            return;
        }
    }
    if (!active.claimToken.empty()) {
        ClaimOutcome outcome;
        outcome.verdict = reply.verdict;
        outcome.response.status = 200;
        outcome.response.body = reply.body;
        claims_.finish(active.claimToken, outcome);
    }
    respond(active, reply.verdict, reply.body);
}

void ScenarioCalls::respond(const ActiveCall &active, Verdict verdict, const std::string &body)
{
    --activeCalls_;
    hooks_.answer(CallerAnswer{active.call, verdict, body});
}

} // namespace cuminrail
