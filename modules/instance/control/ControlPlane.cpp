#include "instance/control/ControlPlane.h"

#include "admission/limits/AdmissionSettingsBuilder.h"
#include "core/events/EventCatalogue.h"
#include "routing/live/PoolLoad.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace cuminrail {

namespace {

constexpr Millis admissionTickInterval{10};
constexpr Millis capacityRefreshInterval{250};
constexpr Millis pollInterval{50};

} // namespace

ControlPlane::ControlPlane(ServingContext &context, AdmissionDesk &admission)
    : context_(context), admission_(admission), thread_(context.config.deadlineTick),
      builder_(context.config.failureDomain)
{
    addTick(admissionTickInterval, [this](Millis now) { admission_.tick(now); });
    addTick(capacityRefreshInterval, [this](Millis) { refreshCapacity(); });
    addReadiness("settings", [this] { return hasSettings_; });
    addReadiness("not-stopping", [this] { return !context_.isStopping.load(); });
    addReadiness("current-keys", [this] { return !context_.isStale.load(); });
}

void ControlPlane::addTick(Millis interval, std::function<void(Millis now)> hook)
{
    auto tick = std::make_shared<Tick>();
    tick->interval = interval;
    tick->hook = std::move(hook);
    tick->timer = std::make_unique<boost::asio::steady_timer>(thread_.io());
    ticks_.push_back(std::move(tick));
}

void ControlPlane::addReadiness(std::string name, std::function<bool()> isSatisfied)
{
    readiness_.push_back({std::move(name), std::move(isSatisfied)});
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
            scheduleTick(tick);
    });
}

void ControlPlane::scheduleTick(const std::shared_ptr<Tick> &tick)
{
    tick->timer->expires_after(std::chrono::milliseconds(tick->interval.count()));
    tick->timer->async_wait([this, tick](const boost::system::error_code &error) {
        if (error || hasEnded_)
            return;
        tick->hook(thread_.deadlines().now());
        scheduleTick(tick);
    });
}

void ControlPlane::end()
{
    hasEnded_ = true;
    onStopHooksDone_ = nullptr;
    stopDeadline_.reset();
}

void ControlPlane::pollUntil(std::function<bool()> condition, std::function<void()> done)
{
    if (condition())
        return done();
    auto timer = std::make_shared<boost::asio::steady_timer>(thread_.io());
    timer->expires_after(std::chrono::milliseconds(pollInterval.count()));
    timer->async_wait([this, timer, condition = std::move(condition),
                       done = std::move(done)](const boost::system::error_code &error) {
        if (!error && !hasEnded_)
            pollUntil(condition, done);
    });
}

void ControlPlane::runStopHooks(Millis timeout, std::function<void()> done)
{
    onStopHooksDone_ = std::move(done);
    stopDeadline_ = std::make_unique<Deadline>(thread_.deadlines(), [this] { finishStopHooks(); });
    stopDeadline_->setAfter(timeout);
    runStopHook(0);
}

void ControlPlane::runStopHook(std::size_t index)
{
    if (index == stopHooks_.size())
        return finishStopHooks();
    stopHooks_[index]([this, index] {
        boost::asio::post(thread_.io(), [this, index] { runStopHook(index + 1); });
    });
}

void ControlPlane::finishStopHooks()
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
    publishSnapshot();
}

void ControlPlane::setInstanceCount(std::size_t count)
{
    const std::size_t newCount = std::max<std::size_t>(count, 1);
    if (instanceCount_ == newCount)
        return;
    instanceCount_ = newCount;
    if (hasSettings_)
        publishSnapshot();
}

void ControlPlane::publishFacts(FleetState facts)
{
    builder_.setFacts(std::move(facts));
    if (hasSettings_)
        publishSnapshot();
}

void ControlPlane::publishWithdrawn(std::set<KeyHash> keys)
{
    builder_.setWithdrawnAhead(std::move(keys));
    if (hasSettings_)
        publishSnapshot();
}

void ControlPlane::publishSnapshot()
{
    auto snapshot = builder_.build();
    // Admission is configured first: a request routed by the new table must find its customer in
    // the admission controller.
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

// If each instance admitted up to a pool's total capacity, N instances would admit N times too
// much, and requests would queue at the engines, which do not schedule them fairly. A fixed share
// for each instance would leave capacity idle whenever callers are spread unevenly. Free capacity
// therefore goes to the instances that have demand for it.
void ControlPlane::refreshCapacity()
{
    const RcuReadScope scope;
    const RoutingTable &table = context_.snapshot.get(scope).routing;
    const auto instances = static_cast<double>(instanceCount_);
    for (PoolIndex pool = 0; pool < table.poolCount(); ++pool) {
        const PoolCapacity total = table.capacity(pool);
        const PoolLoad used = poolLoad(table, context_.loads, pool);
        admission_.withController([&](AdmissionController &controller) {
            const AdmissionCapacity capacity{total.slots, total.prefillTokensPerSecond,
                                             total.decodeTokensPerSecond,
                                             total.enginePrefillTokensPerSecond};
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
        if (!readiness.isSatisfied())
            missing.push_back(readiness.name);
    }
    return missing;
}

nlohmann::json ControlPlane::describe() const
{
    nlohmann::json sections = nlohmann::json::object();
    for (const State &state : states_)
        sections[state.name] = state.describe();
    return sections;
}

} // namespace cuminrail
