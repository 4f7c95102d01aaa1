#include "admission/limits/AdmissionSettingsBuilder.h"

#include <algorithm>

namespace cuminrail {

namespace {

template<typename Row>
Row &rowAt(std::vector<Row> &rows, std::uint32_t index)
{
    if (rows.size() <= index)
        rows.resize(index + 1);
    return rows[index];
}

} // namespace

AdmissionSettings buildAdmissionSettings(const Settings &settings,
                                         IndexRegistry<CustomerId> &customers,
                                         IndexRegistry<std::string> &pools)
{
    AdmissionSettings built;
    for (const TeamSettings &team : settings.teams) {
        for (const CustomerSettings &customer : team.customers) {
            AdmissionCustomer &row = rowAt(built.customers, customers.indexOf(customer.id));
            row.id = customer.id;
            row.weight = customer.weight;
            row.limits = customer.limits;
            row.present = true;
        }
    }
    for (const ModelSettings &model : settings.fleet.models) {
        AdmissionPool &row = rowAt(built.pools, pools.indexOf("model:" + model.id.text()));
        row.firstTokenTarget = model.firstTokenTarget;
        row.tokenTarget = model.tokenTarget;
    }
    for (const ServiceSettings &service : settings.fleet.services)
        rowAt(built.pools, pools.indexOf("service:" + service.name)).isService = true;
    return built;
}

AdmissionCapacity instanceCapacity(const AdmissionCapacity &whole, const PoolUse &used,
                                   const PoolUse &own, double instances, Millis window)
{
    AdmissionCapacity share = whole;
    const double count = std::max(1.0, instances);
    const double freePart = std::min(1.0, 4 / count);
    if (whole.slots > 0) {
        const double free = std::max(0.0, whole.slots - used.requests);
        share.slots = std::max(whole.slots / count, own.requests + freePart * free);
    }
    if (whole.prefillTokensPerSecond > 0) {
        const double rate = whole.prefillTokensPerSecond;
        const double seconds = std::max(0.001, window.toSeconds());
        const double free = std::max(0.0, rate * seconds - used.promptTokens);
        const double reachable = (own.promptTokens + freePart * free) / seconds;
        share.prefillTokensPerSecond = std::min(rate, std::max(rate / count, reachable));
    }
    return share;
}

} // namespace cuminrail
