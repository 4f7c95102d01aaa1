#pragma once

#include "dataplane/model/Configuration.h"

#include <string_view>
#include <unordered_map>

namespace cuminrail {

/**
    One version of the configuration, arranged for looking up a request's route and customer.

    Immutable, so that a request keeps the version under which it was accepted to its end.
*/
class RouteIndex
{
public:
    /** Who a caller key belongs to. */
    struct Caller
    {
        std::string customer;
        std::optional<int> priority;
    };

    explicit RouteIndex(Configuration configuration);
    RouteIndex(const RouteIndex &) = delete;
    RouteIndex &operator=(const RouteIndex &) = delete;

    /** Returns the route with the longest prefix of the path among those of the host, or null. */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Returns the customer that holds a key, or null. */
    const Caller *caller(std::string_view key) const;
    const Service *service(const std::string &name) const;
    /**
        Returns the service that serves a request; the same for the same request each time.

        @see RouteTarget::weight
    */
    static const std::string &target(const Route &route, std::string_view requestId);

    const Configuration &configuration() const { return configuration_; }
    std::uint64_t version() const { return configuration_.version; }

private:
    Configuration configuration_;
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
    std::unordered_map<std::string, Caller> byKey_;
    std::unordered_map<std::string, const Service *> byName_;
};

} // namespace cuminrail
