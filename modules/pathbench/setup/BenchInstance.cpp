#include "pathbench/setup/BenchInstance.h"

#include "identity/keys/KeyHash.h"

#include <stdexcept>

namespace cuminrail::pathbench {

namespace {

const char *const domainName = "bench-domain";
const char *const modelName = "bench";
const char *const customerName = "bench-customer";
const char *const teamName = "bench-team";
/** Short, since benches stall upstreams on purpose. */
constexpr Millis stallTimeout{400};

} // namespace

Settings makeBenchSettings()
{
    Settings settings;
    settings.fleet.domains.push_back({FailureDomainId(domainName), RegionId("bench-region"), 1});
    ModelSettings model;
    model.id = ModelId(modelName);
    model.version = "1";
    settings.fleet.models.push_back(model);
    CustomerSettings customer;
    customer.id = CustomerId(customerName);
    customer.team = TeamId(teamName);
    TeamSettings team;
    team.id = TeamId(teamName);
    team.customers.push_back(customer);
    settings.teams.push_back(team);
    CallerKeySettings key;
    key.sha256 = KeyHash::of(benchKey).toHex();
    key.customer = CustomerId(customerName);
    settings.keys.push_back(key);
    return settings;
}

void addEngine(Settings &settings, const std::string &address)
{
    EngineSettings engine;
    engine.id = UpstreamId("bench-engine");
    engine.address = address;
    engine.domain = FailureDomainId(domainName);
    engine.models.emplace_back(modelName);
    engine.concurrentRequests = 4096;
    // Far beyond what a bench asks, so that estimates never hold a request back.
    engine.prefillTokensPerSecond = 1e9;
    engine.decodeTokensPerSecond = 1e9;
    settings.fleet.engines.push_back(engine);
}

void addOnceService(Settings &settings, const std::vector<std::string> &addresses, Millis timeout)
{
    ServiceSettings service;
    service.name = "once";
    service.prefix = "/services/once/";
    service.timeout = timeout;
    for (const std::string &address : addresses) {
        ServiceUpstreamSettings upstream;
        upstream.id = UpstreamId("once-" + std::to_string(service.upstreams.size()));
        upstream.address = address;
        upstream.domain = FailureDomainId(domainName);
        service.upstreams.push_back(upstream);
    }
    ServiceCallSettings call;
    call.method = "POST";
    call.path = "/";
    call.repeatable = false;
    service.calls.push_back(call);
    settings.fleet.services.push_back(service);
}

BenchInstance::BenchInstance(const Settings &settings, std::uint32_t threads)
{
    InstanceConfig config;
    config.threads = threads;
    config.instanceId = InstanceId("bench");
    config.failureDomain = FailureDomainId(domainName);
    config.upstreamStallTimeout = stallTimeout;
    instance_ = std::make_unique<Instance>(config, ignoreEvents());
    Reason reason;
    if (!instance_->start(&reason))
        throw std::runtime_error(reason.toString());
    instance_->publish(settings);
}

} // namespace cuminrail::pathbench
