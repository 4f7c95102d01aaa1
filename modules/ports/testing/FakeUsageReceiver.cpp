#include "ports/testing/FakeUsageReceiver.h"

#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

bool FakeUsageReceiver::accept(const std::string &from, const UsageReport &report)
{
    FenceNumber &seen = fences_[report.windowId.substr(0, report.windowId.find('/'))];
    const bool accepted = !guardEnabled(Guard::FenceChecked) || report.fence >= seen;
    seen = std::max(seen, report.fence);
    received_.push_back(ReceivedReport{network_.scheduler().now(), from, report, accepted});
    return accepted;
}

UsageReceiver FakeUsageReceiver::port(const FakeProcessPtr &process)
{
    UsageReceiver receiver;
    receiver.report = [this, process](const UsageReport &report,
                                      const std::function<void(const OrderReply &)> &done) {
        FakeCall call;
        call.endpoint = endpoint;
        call.operation = "report";
        call.subject = report.windowId;
        call.effect = [this, process, report, done](const FakeCall::Answer &answer) {
            OrderReply reply;
            reply.status =
                accept(process->name(), report) ? OrderStatus::Accepted : OrderStatus::Refused;
            answer([done, reply] { done(reply); });
        };
        call.refused = [done] { done(OrderReply{OrderStatus::NotSent, {}}); };
        call.unanswered = [done] { done(OrderReply{OrderStatus::Unknown, {}}); };
        call.mayLeave = [this, report] {
            return !guardEnabled(Guard::AuthorityCheckedAtWrite)
                || network_.scheduler().now() < report.notAfter;
        };
        network_.call(process, std::move(call));
    };
    return receiver;
}

} // namespace cuminrail
