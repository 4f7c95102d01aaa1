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
    Running running;
    running.call = call;
    running.traits.idempotent = call.isIdempotent;
    running.traits.deadline = hooks_.clock.now() + callDeadline;
    ++inProgress_;
    budget_.countFirstAttempt();
    if (call.isIdempotent) {
        send(running);
        return;
    }
    ClaimRequest request;
    request.customer = CustomerId(call.customer);
    request.keySha256 = call.work;
    request.requestSha256 = call.work;
    request.deadline = hooks_.clock.now() + claimDeadline;
    claims_.begin(request,
                  [this, running](const ClaimResult &result) { decided(running, result); });
}

void ScenarioCalls::decided(Running running, const ClaimResult &result)
{
    switch (result.decision) {
    case ClaimDecision::Run:
        running.claim = result.token;
        send(running);
        return;
    case ClaimDecision::Replay:
    case ClaimDecision::RanUnstored:
        answer(running, Verdict::Ran, result.response.body);
        return;
    case ClaimDecision::InProgress:
    case ClaimDecision::MayHaveRun:
        answer(running, Verdict::MayHaveRun, "");
        return;
    case ClaimDecision::KeyReused:
    case ClaimDecision::Unavailable:
        answer(running, Verdict::NotRun, "");
        return;
    }
}

void ScenarioCalls::send(const Running &running)
{
    ServiceRun run;
    run.attempt = running.call.attempt;
    run.customer = running.call.customer;
    run.work = running.call.work;
    hooks_.send(run, [this, running](const ServiceReply &reply) { replied(running, reply); });
}

void ScenarioCalls::replied(Running running, const ServiceReply &reply)
{
    if (reply.verdict != Verdict::Ran) {
        AttemptOutcome outcome;
        outcome.verdict = reply.verdict;
        const RetryDecision decision =
            decideRetry(running.traits, outcome, hooks_.clock.now(), budget_);
        if (decision == RetryDecision::Retry) {
            ++running.traits.attemptsMade;
            send(running);
            return;
        }
    }
    if (!running.claim.empty()) {
        ClaimOutcome outcome;
        outcome.verdict = reply.verdict;
        outcome.response.status = 200;
        outcome.response.body = reply.body;
        claims_.finish(running.claim, outcome);
    }
    answer(running, reply.verdict, reply.body);
}

void ScenarioCalls::answer(const Running &running, Verdict verdict, const std::string &body)
{
    --inProgress_;
    hooks_.answer(CallerAnswer{running.call, verdict, body});
}

} // namespace cuminrail
