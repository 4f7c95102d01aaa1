#include "dataplane/model/RouteIndex.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <cctype>

namespace cuminrail {

namespace {

/** Returns the host in lower case and without the port. */
std::string normalizedHost(std::string_view host)
{
    std::string normalized(host.substr(0, host.rfind(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalized;
}

} // namespace

RouteIndex::RouteIndex(Configuration configuration) : configuration_(std::move(configuration))
{
    for (const Route &route : configuration_.routes)
        byHost_[normalizedHost(route.host)].push_back(&route);
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const CustomerKeys &customer : configuration_.customers) {
        customers_[customer.customer] = &customer;
        for (const std::string &key : customer.keys)
            byKey_[key] = Caller{customer.customer, customer.priority};
    }
    for (const Service &service : configuration_.services)
        byName_[service.name] = &service;
}

const Route *RouteIndex::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(normalizedHost(host));
    if (found == byHost_.end())
        return nullptr;
    for (const Route *route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix)
            return route;
    }
    return nullptr;
}

const RouteIndex::Caller *RouteIndex::caller(std::string_view key) const
{
    const auto found = byKey_.find(std::string(key));
    return found == byKey_.end() ? nullptr : &found->second;
}

const CustomerKeys *RouteIndex::customer(std::string_view name) const
{
    const auto found = customers_.find(std::string(name));
    return found == customers_.end() ? nullptr : found->second;
}

const Service *RouteIndex::service(const std::string &name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : found->second;
}

const std::string &RouteIndex::target(const Route &route, std::string_view requestId)
{
    std::uint64_t sum = 0;
    for (const RouteTarget &target : route.targets)
        sum += target.weight;
    std::uint64_t point = sum == 0 ? 0 : StableHash().add(requestId).value() % sum;
    for (const RouteTarget &target : route.targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return route.targets.front().service;
}

} // namespace cuminrail
