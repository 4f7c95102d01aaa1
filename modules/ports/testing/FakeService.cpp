#include "ports/testing/FakeService.h"

namespace cuminrail {

void FakeService::send(const FakeProcessPtr &process, const ServiceRun &run,
                       const std::function<void(const ServiceReply &)> &done)
{
    FakeCall call;
    call.endpoint = endpoint;
    call.operation = "work";
    call.subject = run.work;
    call.effect = [this, process, run, done](const FakeCall::Answer &answer) {
        ServiceRun carriedOut = run;
        carriedOut.when = network_.scheduler().now();
        carriedOut.from = process->name();
        runs_.push_back(carriedOut);
        answer([done, work = run.work] { done(ServiceReply{Verdict::Ran, "done: " + work}); });
    };
    call.refused = [done] { done(ServiceReply{Verdict::NotRun, ""}); };
    call.unanswered = [done] { done(ServiceReply{Verdict::MayHaveRun, ""}); };
    network_.call(process, std::move(call));
}

} // namespace cuminrail
