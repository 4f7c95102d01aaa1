#include "scenario/judge/BilledUse.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace cuminrail {

CustomerUsage billedUse(const FakeUsageReceiver &receiver)
{
    std::map<std::string, std::string> acceptedWindows;
    for (const ReceivedReport &received : receiver.received()) {
        if (received.accepted)
            acceptedWindows[received.report.windowId] = received.report.sealedFigures;
    }
    CustomerUsage billed;
    for (const auto &[id, sealedCounters] : acceptedWindows) {
        const auto json = nlohmann::json::parse(sealedCounters);
        for (const auto &[customer, used] : json.at("customers").items())
            billed[CustomerId(customer)] +=
                UsageCounters{used.at("prompt_tokens").get<std::uint64_t>(),
                              used.at("output_tokens").get<std::uint64_t>(),
                              used.at("requests").get<std::uint64_t>(),
                              used.at("reclaimable_tokens").get<std::uint64_t>()};
    }
    return billed;
}

} // namespace cuminrail
