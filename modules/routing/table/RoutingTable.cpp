#include "routing/table/RoutingTable.h"

#include <algorithm>

namespace cuminrail {

namespace {

template<typename Map, typename Name>
std::optional<typename Map::mapped_type> findByName(const Map &map, const Name &name)
{
    const auto entry = map.find(name);
    if (entry == map.end())
        return std::nullopt;
    return entry->second;
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

bool callMatches(const ServiceCallSettings &call, std::string_view method, std::string_view path)
{
    if (call.method != method)
        return false;
    // A rule's path begins with the slash that the service's prefix already ends in. Without
    // removing it, no rule would match and calls would not require their idempotency key.
    std::string_view rule = call.path;
    if (!rule.empty() && rule.front() == '/')
        rule.remove_prefix(1);
    const bool isPrefix = !call.path.empty() && call.path.back() == '/';
    return isPrefix ? startsWith(path, rule) : path == rule;
}

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

void PoolMembers::add(UpstreamIndex upstream, DomainIndex domain)
{
    all.push_back(upstream);
    if (byDomain.size() <= domain)
        byDomain.resize(domain + 1);
    byDomain[domain].push_back(upstream);
}

UpstreamIndex RoutingPool::home(std::uint64_t prefixHash) const
{
    if (ring.empty())
        return noIndex;
    const auto point = std::lower_bound(ring.begin(), ring.end(),
                                        std::pair<std::uint64_t, UpstreamIndex>(prefixHash, 0));
    return point == ring.end() ? ring.front().second : point->second;
}

std::optional<PoolIndex> RoutingTable::findModel(std::string_view model) const
{
    return findByName(modelPools_, model);
}

std::optional<AdapterIndex> RoutingTable::findAdapter(std::string_view adapter) const
{
    return findByName(adapters_, adapter);
}

std::optional<CustomerIndex> RoutingTable::findCustomer(const CustomerId &customer) const
{
    return findByName(customerIndexes_, customer);
}

std::optional<ServiceRoute> RoutingTable::findService(std::string_view method,
                                                      std::string_view path) const
{
    const Service *best = nullptr;
    for (const Service &service : services_) {
        const bool longer = best == nullptr || service.prefix.size() > best->prefix.size();
        if (longer && startsWith(path, service.prefix))
            best = &service;
    }
    if (best == nullptr)
        return std::nullopt;

    ServiceRoute route;
    route.pool = best->pool;
    route.timeout = best->timeout;
    route.subPath = path.substr(best->prefix.size());
    route.repeatable = isSafeMethod(method);
    const std::string_view pathWithoutQuery = route.subPath.substr(0, route.subPath.find('?'));
    const ServiceCallSettings *rule = nullptr;
    for (const ServiceCallSettings &call : best->callRules) {
        const bool longer = rule == nullptr || call.path.size() > rule->path.size();
        if (longer && callMatches(call, method, pathWithoutQuery))
            rule = &call;
    }
    if (rule != nullptr) {
        route.repeatable = rule->repeatable;
        route.idempotencyKeyRequired = rule->idempotencyKeyRequired;
    }
    return route;
}

bool RoutingTable::isAllowed(CustomerIndex customer, PoolIndex pool) const
{
    if (customer >= customers_.size() || !customers_[customer].present)
        return false;
    const auto &allowed = customers_[customer].pools;
    if (allowed.empty() || pools_[pool].isService)
        return true;
    return std::binary_search(allowed.begin(), allowed.end(), pool);
}

PoolCapacity RoutingTable::capacity(PoolIndex pool) const
{
    PoolCapacity sum;
    const RoutingPool &members = pools_[pool];
    if (members.isService)
        return sum;
    // Decode engines run prefill only within their headroom, except when no other engine does.
    const bool decodeRunsPrefill = members.prefill.empty() && members.mixed.empty();
    std::size_t prefillEngines = 0;
    const auto add = [&](const PoolMembers &group, bool runsPrefill, bool runsDecode) {
        for (UpstreamIndex index : group.all) {
            const RoutedUpstream &upstream = upstreams_[index];
            sum.slots += runsDecode ? upstream.slots : 0;
            sum.decodeTokensPerSecond += runsDecode ? upstream.decodeTokensPerSecond : 0;
            sum.prefillTokensPerSecond += runsPrefill ? upstream.prefillTokensPerSecond : 0;
            prefillEngines += runsPrefill ? 1 : 0;
        }
    };
    add(members.mixed, true, true);
    add(members.prefill, true, false);
    add(members.decode, decodeRunsPrefill, true);
    if (prefillEngines > 0)
        sum.enginePrefillTokensPerSecond =
            sum.prefillTokensPerSecond / static_cast<double>(prefillEngines);
    return sum;
}

std::vector<ModelId> RoutingTable::modelsOf(CustomerIndex customer) const
{
    std::vector<ModelId> allowed;
    for (const auto &[model, pool] : models_) {
        if (isAllowed(customer, pool))
            allowed.push_back(model);
    }
    return allowed;
}

} // namespace cuminrail
