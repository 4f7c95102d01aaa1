#include "routing/decision/RoutingChoice.h"

#include "core/events/EventCatalogue.h"
#include "routing/table/RoutingTable.h"

#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

Event explainChoice(const RoutingRequest &request, const RoutingChoice &choice,
                    const RoutingTable &table)
{
    const RoutedUpstream &upstream = table.upstream(choice.upstream);
    std::vector<std::pair<std::string, std::string>> fields = {
        {"pool", table.pool(request.pool).name},
        {"upstream", upstream.id.text()},
        {"domain", table.domainName(upstream.domain)},
        {"reason", std::string(routingReasonNames.name(choice.reason))},
        {"prompt_tokens", std::to_string(request.promptTokens)},
        {"cached_tokens", std::to_string(choice.cachedTokens)},
        {"predicted_first_token_ms", std::to_string(choice.predictedFirstToken.count())},
        {"compared", std::to_string(choice.compared)},
        {"report_age_ms", std::to_string(choice.reportAgeMs)},
    };
    if (choice.prefill != noIndex)
        fields.emplace_back("prefill", table.upstream(choice.prefill).id.text());
    return Event{&events::routingDecision, std::move(fields)};
}

} // namespace cuminrail
