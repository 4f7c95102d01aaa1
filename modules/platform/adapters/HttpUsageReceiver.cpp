#include "platform/adapters/HttpUsageReceiver.h"

#include "platform/client/Replies.h"

namespace cuminrail {

UsageReceiver makeHttpUsageReceiver(PlatformClient &client, const std::string &address)
{
    UsageReceiver receiver;
    receiver.report = [&client, address](const UsageReport &report,
                                         std::function<void(const OrderReply &)> done) {
        PlatformCall call;
        call.kind = PlatformCallKind::Usage;
        call.address = address;
        call.method = "POST";
        call.target = "/usage-reports";
        call.body =
            nlohmann::json{
                {"window_id", report.windowId},
                {"sealed_figures", report.sealedFigures},
                {"fence", report.fence},
            }
                .dump();
        call.notAfter = report.notAfter;
        client.call(call, [done = std::move(done)](const PlatformAnswer &answer) {
            done(detail::toOrderReply(answer));
        });
    };
    return receiver;
}

} // namespace cuminrail
