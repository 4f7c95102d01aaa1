#include "instance/services/ControlServices.h"

#include <chrono>
#include <random>
#include <utility>

namespace cuminrail {

namespace {

/** How long a leaving instance keeps running, so that its neighbours receive the announcement. */
constexpr Millis leaveDelay{300};
constexpr std::uint64_t randomRange = 1000;

/**
    Returns a number greater than this instance's previous incarnations, unless the calendar clock
    was set back.

    The random part distinguishes two incarnations that start within one millisecond. After the
    clock was set back, the number may be smaller than a previous one: peers ignore it as long as
    they know the greater one, since membership refutes only claims about the current incarnation.
*/
Incarnation newIncarnation()
{
    const auto milliseconds = static_cast<Incarnation>(calendarNow().count());
    return milliseconds * randomRange + std::random_device()() % randomRange;
}

PlatformClientOptions clientOptions(const InstanceConfig &config)
{
    PlatformClientOptions options;
    options.instance = config.instanceId.text();
    return options;
}

MemberRecord selfRecord(const InstanceConfig &config, const InstanceIncarnation &self,
                        const PeerAddress &address)
{
    MemberRecord record;
    record.id = config.instanceId;
    record.incarnation = self.incarnation;
    record.domain = config.failureDomain;
    record.region = config.region;
    record.address = address;
    return record;
}

UsageTiming usageTiming(const ControlTiming &timing)
{
    UsageTiming usage;
    usage.windowLength = timing.usageWindow;
    usage.grace = timing.usageGrace;
    return usage;
}

} // namespace

ControlServices::ControlServices(Instance &instance, PeerService &peers,
                                 const ControlTiming &timing)
    : control_(instance.control()), self_{control_.context().config.instanceId, newIncarnation()},
      client_(control_.thread().io(), control_.thread().deadlines(),
              clientOptions(control_.context().config)),
      store_(makeHttpObjectStore(client_, control_.context().config.platform)),
      engineControl_(makeHttpEngineControl(
          client_, [this](const UpstreamId &engine) { return engineAddress(engine); })),
      fleet_(makeHttpFleetOrdering(client_, control_.context().config.platform)), peers_(peers),
      members_(control_, selfRecord(control_.context().config, self_, peers_.address()),
               peers_.transport(), fleet_, [this](Millis now) { return settings_.digest(now); }),
      settings_(control_, members_, store_, peers_.transport()),
      engines_(control_, members_, engineControl_, peers_.transport()),
      budgets_(control_, instance.admission(), members_, peers_.transport(), self_.incarnation),
      claims_(control_, store_, self_.incarnation,
              [this](const InstanceId &other, Incarnation incarnation) {
                  return members_.isGone(other, incarnation);
              }),
      usage_(control_, store_, self_, members_, timing.usageWindow),
      duties_(control_, members_, self_,
              {store_, engineControl_,
               makeHttpUsageReceiver(client_, control_.context().config.platform),
               makeHttpWeightStore(client_, control_.context().config.platform)},
              usageTiming(timing))
{
    peers_.setFrameHandler([this](const PeerAddress &from, const std::string &frame) {
        members_.receive(from, frame);
    });
    settings_.addSettingsHook([this](const Settings &settings) { applySettings(settings); });
    members_.setListReaderHook([this] { return settings_.isWatching(); });
    members_.setUpstreamListHook(
        [this](const std::vector<ListedInstance> &upstreams) { handleUpstreamList(upstreams); });
    control_.addStopHook([this](std::function<void()> done) { leave(std::move(done)); });
}

void ControlServices::applySettings(const Settings &settings)
{
    engineAddresses_.clear();
    for (const EngineSettings &engine : settings.fleet.engines)
        engineAddresses_[engine.id] = engine.address;
    engines_.configure(settings);
    budgets_.configure(settings);
    duties_.configure(settings);
}

std::optional<std::string> ControlServices::engineAddress(const UpstreamId &engine) const
{
    const auto address = engineAddresses_.find(engine);
    if (address == engineAddresses_.end())
        return std::nullopt;
    return address->second;
}

void ControlServices::handleUpstreamList(const std::vector<ListedInstance> &upstreams)
{
    for (const ListedInstance &upstream : upstreams) {
        if (!upstream.leaving)
            continue;
        const UpstreamId id(upstream.name);
        const EngineState *state = engines_.table().facts(engineKey(id));
        const Incarnation incarnation = state == nullptr ? 0 : state->incarnation;
        engines_.markLeaving({id, incarnation});
        // The platform's list lags and only a few instances read it: with the broadcast all
        // instances stop sending calls to the upstream within seconds.
        members_.membership().broadcast(control_.thread().deadlines().now(),
                                        {UrgentFactKind::UpstreamLeaving, id.text(), incarnation});
    }
}

void ControlServices::leave(std::function<void()> done)
{
    members_.membership().leave(control_.thread().deadlines().now());
    auto timer = std::make_shared<boost::asio::steady_timer>(control_.thread().io());
    timer->expires_after(std::chrono::milliseconds(leaveDelay.count()));
    timer->async_wait([timer, done = std::move(done)](const auto &) { done(); });
}

} // namespace cuminrail
