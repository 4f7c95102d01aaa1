#include "pathbench/setup/BenchInstance.h"

#include "identity/keys/KeyHash.h"
#include "runtime/time/BootClock.h"

#include <stdexcept>

namespace cuminrail::pathbench {

namespace {

const char *const domainName = "bench-domain";
const char *const modelName = "bench";
const char *const customerName = "bench-customer";
const char *const teamName = "bench-team";
/** Short, since benches stall upstreams on purpose. */
constexpr Millis stallTimeout{400};
constexpr Millis readyWithin = Millis::seconds(20);
constexpr Millis readyFor{300};

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

void addOnceService(Settings &settings, const std::vector<std::string> &addresses, Millis timeout,
                    bool isKeyRequired)
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
    call.idempotencyKeyRequired = isKeyRequired;
    service.calls.push_back(call);
    settings.fleet.services.push_back(service);
}

namespace {

InstanceConfig benchConfig(const std::string &name, std::uint32_t threads)
{
    InstanceConfig config;
    config.threads = threads;
    config.instanceId = InstanceId(name);
    config.failureDomain = FailureDomainId(domainName);
    config.upstreamStallTimeout = stallTimeout;
    return config;
}

} // namespace

BenchInstance::BenchInstance(const Settings &settings, std::uint32_t threads)
    : instance_(std::make_unique<Instance>(benchConfig("bench", threads), ignoreEvents()))
{
    start();
    instance_->publish(settings);
}

BenchInstance::BenchInstance(const std::string &platform, const std::string &name)
{
    InstanceConfig config = benchConfig(name, 2);
    config.platform = platform;
    instance_ = std::make_unique<Instance>(config, ignoreEvents());
    peers_ = std::make_unique<PeerService>(instance_->control());
    Reason reason;
    if (!peers_->start(&reason))
        throw std::runtime_error(reason.toString());
    services_ = std::make_unique<ControlServices>(*instance_, *peers_, ControlTiming());
    start();
    waitUntilReady();
}

void BenchInstance::waitUntilReady()
{
    // Readiness comes and goes within the first second, until the age of the settings is known.
    const Millis giveUp = bootTime() + readyWithin;
    Millis readySince = Millis::never();
    while (readySince == Millis::never() || bootTime() - readySince < readyFor) {
        if (bootTime() > giveUp)
            throw std::runtime_error("the instance does not become ready");
        if (!isReady())
            readySince = Millis::never();
        else if (readySince == Millis::never())
            readySince = bootTime();
    }
}

BenchInstance::~BenchInstance()
{
    instance_->shutDown();
}

void BenchInstance::start()
{
    Reason reason;
    if (!instance_->start(&reason))
        throw std::runtime_error(reason.toString());
}

bool BenchInstance::isReady()
{
    bool ready = false;
    instance_->control().thread().run(
        [&] { ready = instance_->control().missingForReadiness().empty(); });
    return ready;
}

} // namespace cuminrail::pathbench
