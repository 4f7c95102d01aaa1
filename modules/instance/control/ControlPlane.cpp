#include "instance/control/ControlPlane.h"

#include "admission/limits/AdmissionSettingsBuilder.h"
#include "core/events/EventCatalogue.h"
#include "routing/live/PoolLoad.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace cuminrail {

namespace {

constexpr Millis admissionTick{10};
constexpr Millis capacityTick{250};
constexpr Millis pollPeriod{50};

} // namespace

ControlPlane::ControlPlane(ServingContext &context, AdmissionDesk &admission)
    : context_(context), admission_(admission), thread_(context.config.deadlineTick),
      builder_(context.config.failureDomain)
{
    addTick(admissionTick, [this](Millis now) { admission_.tick(now); });
    addTick(capacityTick, [this](Millis) { refreshCapacity(); });
    addReadiness("settings", [this] { return hasSettings_; });
    addReadiness("not-stopping", [this] { return !context_.isStopping.load(); });
    addReadiness("current-keys", [this] { return !context_.isStale.load(); });
}

void ControlPlane::addTick(Millis every, std::function<void(Millis now)> hook)
{
    auto tick = std::make_shared<Tick>();
    tick->every = every;
    tick->hook = std::move(hook);
    tick->timer = std::make_unique<boost::asio::steady_timer>(thread_.io());
    ticks_.push_back(std::move(tick));
}

void ControlPlane::addReadiness(std::string name, std::function<bool()> holds)
{
    readiness_.push_back({std::move(name), std::move(holds)});
}

void ControlPlane::addState(std::string name, std::function<nlohmann::json()> describe)
{
    states_.push_back({std::move(name), std::move(describe)});
}

void ControlPlane::start()
{
    thread_.start();
    thread_.post([this] {
        for (const auto &hook : startHooks_)
            hook();
        for (const auto &tick : ticks_)
            arm(tick);
    });
}

void ControlPlane::arm(const std::shared_ptr<Tick> &tick)
{
    tick->timer->expires_after(std::chrono::milliseconds(tick->every.count()));
    tick->timer->async_wait([this, tick](const boost::system::error_code &error) {
        if (error || isOver_)
            return;
        tick->hook(thread_.deadlines().now());
        arm(tick);
    });
}

void ControlPlane::end()
{
    isOver_ = true;
    onStopHooksDone_ = nullptr;
    stopDeadline_.reset();
}

void ControlPlane::pollUntil(std::function<bool()> isReached, std::function<void()> done)
{
    if (isReached())
        return done();
    auto timer = std::make_shared<boost::asio::steady_timer>(thread_.io());
    timer->expires_after(std::chrono::milliseconds(pollPeriod.count()));
    timer->async_wait([this, timer, isReached = std::move(isReached),
                       done = std::move(done)](const boost::system::error_code &error) {
        if (!error && !isOver_)
            pollUntil(isReached, done);
    });
}

void ControlPlane::runStopHooks(Millis atMost, std::function<void()> done)
{
    onStopHooksDone_ = std::move(done);
    stopDeadline_ = std::make_unique<Deadline>(thread_.deadlines(), [this] { stopHooksDone(); });
    stopDeadline_->setAfter(atMost);
    runStopHook(0);
}

void ControlPlane::runStopHook(std::size_t index)
{
    if (index == stopHooks_.size())
        return stopHooksDone();
    stopHooks_[index]([this, index] {
        boost::asio::post(thread_.io(), [this, index] { runStopHook(index + 1); });
    });
}

void ControlPlane::stopHooksDone()
{
    if (!onStopHooksDone_)
        return;
    const auto done = std::move(onStopHooksDone_);
    onStopHooksDone_ = nullptr;
    stopDeadline_->clear();
    done();
}

void ControlPlane::publish(Settings settings)
{
    builder_.setSettings(std::move(settings));
    hasSettings_ = true;
    republish();
}

void ControlPlane::setInstanceCount(std::size_t count)
{
    const std::size_t atLeastOne = std::max<std::size_t>(count, 1);
    if (instanceCount_ == atLeastOne)
        return;
    instanceCount_ = atLeastOne;
    if (hasSettings_)
        republish();
}

void ControlPlane::publishFacts(FleetState facts)
{
    builder_.setFacts(std::move(facts));
    if (hasSettings_)
        republish();
}

void ControlPlane::publishWithdrawn(std::set<KeyHash> keys)
{
    builder_.setWithdrawnAhead(std::move(keys));
    if (hasSettings_)
        republish();
}

void ControlPlane::republish()
{
    auto snapshot = builder_.build();
    // Admission first: a request that is routed by the new table must find its customer there.
    configureAdmission(thread_.deadlines().now());
    context_.snapshot.publish(std::move(snapshot));
    refreshCapacity();
}

void ControlPlane::configureAdmission(Millis now)
{
    StableIndexes &indexes = builder_.indexes();
    const AdmissionSettings settings =
        buildAdmissionSettings(builder_.settings(), indexes.customers, indexes.pools);
    admission_.withController(
        [&](AdmissionController &controller) { controller.configure(settings, now); });
}

// Each instance taking a pool's whole capacity would let in as many times too much as there are
// instances, and the queues would stand at the engines, where nobody is fair. A fixed share would
// leave capacity idle whenever callers are not spread evenly; so what is free goes to who asks.
void ControlPlane::refreshCapacity()
{
    const RcuReadScope scope;
    const RoutingTable &table = context_.snapshot.get(scope).routing;
    const auto instances = static_cast<double>(instanceCount_);
    for (PoolIndex pool = 0; pool < table.poolCount(); ++pool) {
        const PoolCapacity whole = table.capacity(pool);
        const PoolLoad used = poolLoad(table, context_.loads, pool);
        admission_.withController([&](AdmissionController &controller) {
            const AdmissionCapacity capacity{whole.slots, whole.prefillTokensPerSecond,
                                             whole.decodeTokensPerSecond,
                                             whole.enginePrefillTokensPerSecond};
            controller.setCapacity(pool,
                                   instanceCapacity(capacity, {used.requests, used.promptTokens},
                                                    controller.use(pool), instances));
        });
    }
}

std::vector<std::string> ControlPlane::missingForReadiness() const
{
    std::vector<std::string> missing;
    for (const Readiness &readiness : readiness_) {
        if (!readiness.holds())
            missing.push_back(readiness.name);
    }
    return missing;
}

nlohmann::json ControlPlane::describe() const
{
    nlohmann::json all = nlohmann::json::object();
    for (const State &state : states_)
        all[state.name] = state.describe();
    return all;
}

} // namespace cuminrail
