#include "instance/request/RequestFlow.h"
#include "instance/request/RequestWorker.h"

namespace cuminrail {

void RequestFlow::finish()
{
    if (stage_ == Stage::Ended)
        return;
    if (verdict_ == Verdict::Ran || relay_.isDone()) {
        RequestCounters::add(worker_.counters().answered);
        relay_.respondHeld();
    }
    const auto output = static_cast<std::uint32_t>(relay_.tokens().output);
    if (admissionTicket_ != 0) {
        if (verdict_ == Verdict::NotRun)
            worker_.admission().cancel(admissionTicket_, now());
        else
            worker_.admission().finished(admissionTicket_, output, now());
    }
    reportUsage();
    finishClaim();
    endFlow();
}

void RequestFlow::endFlow()
{
    const auto self = shared_from_this();
    stage_ = Stage::Ended;
    deadline_.clear();
    call_ = UpstreamCall();
    worker_.release(self);
}

void RequestFlow::reportUsage()
{
    if (verdict_ == Verdict::NotRun)
        return;
    const TokenCounts tokens = relay_.tokens();
    UsageRecord record;
    record.customer = plan_.caller.id;
    record.team = plan_.team;
    record.pool = plan_.pool;
    record.isService = plan_.kind == RequestKind::Service;
    record.verdict = verdict_;
    if (!record.isService) {
        record.promptTokens = tokens.prompt.value_or(plan_.promptTokens);
        record.outputTokens = tokens.output;
    }
    RequestCounters::add(worker_.counters().promptTokens, record.promptTokens);
    RequestCounters::add(worker_.counters().outputTokens, record.outputTokens);
    if (worker_.context().onUsage)
        worker_.context().onUsage(record);
}

void RequestFlow::finishClaim()
{
    if (claimToken_.empty())
        return;
    ClaimOutcome outcome;
    outcome.verdict = verdict_;
    if (verdict_ == Verdict::Ran) {
        outcome.response.status = static_cast<unsigned>(relay_.status());
        outcome.response.contentType = relay_.contentType();
        outcome.response.body = relay_.heldBody();
        outcome.response.complete = relay_.isHeldWhole();
    }
    worker_.context().claims.finish(claimToken_, outcome);
    claimToken_.clear();
}

} // namespace cuminrail
