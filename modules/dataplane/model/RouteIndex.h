#pragma once

#include "dataplane/model/Configuration.h"

#include <string_view>
#include <unordered_map>

namespace cuminrail {

/**
    One version of the configuration, indexed to look up a request's route and customer.

    Immutable: a request uses the version under which it was accepted until it ends.
*/
class RouteIndex
{
public:
    /** The customer to whom a caller's key belongs, and the priority of its requests. */
    struct Caller
    {
        std::string customer;
        std::optional<int> priority;
    };

    explicit RouteIndex(Configuration configuration);
    RouteIndex(const RouteIndex &) = delete;
    RouteIndex &operator=(const RouteIndex &) = delete;

    /** Returns the host's route with the longest matching path prefix, or null. */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Returns the customer to whom a key belongs, or null. */
    const Caller *caller(std::string_view key) const;
    /** Returns a customer by name, or null. */
    const CustomerKeys *customer(std::string_view name) const;
    const Service *service(const std::string &name) const;
    /**
        Returns the service for a request, by weighted hashing of the request's id: always the same
        service for the same request.

        @see RouteTarget::weight
    */
    static const std::string &target(const Route &route, std::string_view requestId);

    const Configuration &configuration() const { return configuration_; }
    std::uint64_t version() const { return configuration_.version; }

private:
    Configuration configuration_;
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
    std::unordered_map<std::string, Caller> byKey_;
    std::unordered_map<std::string, const CustomerKeys *> customers_;
    std::unordered_map<std::string, const Service *> byName_;
};

} // namespace cuminrail
