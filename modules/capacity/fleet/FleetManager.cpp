#include "capacity/fleet/FleetManager.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

using Json = nlohmann::json;

namespace {
constexpr Millis retryInterval{1000};
constexpr Millis sendMargin{1000};
} // namespace

std::string FleetRecord::path(const Zone &zone)
{
    return "fleet/" + zone.domain.text() + "/" + std::string(costClassNames.name(zone.costClass));
}

std::string FleetRecord::toText() const
{
    return Json{
        {"count", count}, {"fence", fence}, {"client_token", clientToken}, {"settled", isSettled}}
        .dump();
}

std::optional<FleetRecord> FleetRecord::fromText(const std::string &text, Reason *lastReason)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        fail(lastReason, "fleet target", "value is not a JSON object");
        return std::nullopt;
    }
    try {
        FleetRecord record;
        record.count = json.at("count").get<std::uint32_t>();
        record.fence = json.at("fence").get<FenceNumber>();
        record.clientToken = json.at("client_token").get<std::string>();
        record.isSettled = json.at("settled").get<bool>();
        return record;
    } catch (const Json::exception &error) {
        fail(lastReason, "fleet target", error.what());
        return std::nullopt;
    }
}

FleetManager::FleetManager(Zone zone, Hooks hooks)
    : zone_(std::move(zone)), hooks_(std::move(hooks))
{ }

template<typename Reply>
std::function<void(const Reply &)>
FleetManager::forCurrentEpoch(void (FleetManager::*method)(const Reply &))
{
    return [this, method, epoch = epoch_](const Reply &reply) {
        if (epoch != epoch_)
            return;
        isCallPending_ = false;
        (this->*method)(reply);
    };
}

void FleetManager::onLeaseAcquired()
{
    onLeaseLost();
    stage_ = Stage::Reading;
    nextAttemptAt_ = hooks_.clock.now();
}

void FleetManager::onLeaseLost()
{
    ++epoch_;
    isCallPending_ = false;
    record_ = FleetRecord{};
    stage_ = Stage::Off;
}

std::optional<FleetRecord> FleetManager::lastRecord() const
{
    if (record_.clientToken.empty())
        return std::nullopt;
    return record_;
}

std::optional<Authority> FleetManager::usableAuthority() const
{
    const auto authority = hooks_.authority();
    if (!authority || authority->notAfter - hooks_.clock.now() < sendMargin)
        return std::nullopt;
    return authority;
}

/**
    As for orders to engines: increases with each target, also if the same lease is acquired again.
*/
FenceNumber FleetManager::nextFence(const Authority &authority)
{
    if (authority.fence != sequenceFence_)
        sequence_ = 0;
    sequenceFence_ = authority.fence;
    return authority.fence * ordersPerHolder + ++sequence_;
}

void FleetManager::retryLater()
{
    const auto jitter = hooks_.random() % static_cast<std::uint64_t>(retryInterval.count());
    nextAttemptAt_ =
        hooks_.clock.now() + retryInterval / 2 + Millis(static_cast<std::int64_t>(jitter));
}

void FleetManager::restartReading()
{
    stage_ = Stage::Reading;
    retryLater();
}

void FleetManager::tick()
{
    if (isCallPending_ || hooks_.clock.now() < nextAttemptAt_)
        return;
    if (stage_ == Stage::Reading)
        read();
    else if (stage_ == Stage::InDoubt)
        readBack();
}

bool FleetManager::request(std::uint32_t count, Reason *lastReason)
{
    const std::string where = FleetRecord::path(zone_);
    if (stage_ != Stage::Idle)
        return fail(lastReason, where, "previous target is not settled yet");
    const auto authority = usableAuthority();
    if (!authority)
        return fail(lastReason, where, "this instance holds no valid lease for this duty");
    record_.count = count;
    record_.fence = nextFence(*authority);
    record_.clientToken = std::to_string(authority->fence) + "-" + std::to_string(hooks_.random());
    record_.isSettled = false;
    if (!guardEnabled(Guard::RecordBeforeSend)) {
        declare();
        return true;
    }
    write(Stage::Recording);
    return true;
}

void FleetManager::read()
{
    isCallPending_ = true;
    hooks_.store.get(FleetRecord::path(zone_),
                     forCurrentEpoch<StoreReply>(&FleetManager::handleRead));
}

void FleetManager::handleRead(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound) {
        version_ = 0;
        stage_ = Stage::Idle;
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.objects.empty()) {
        retryLater();
        return;
    }
    const auto record = FleetRecord::fromText(reply.objects.front().value, nullptr);
    const auto authority = usableAuthority();
    if (!record || !authority) {
        retryLater();
        return;
    }
    version_ = reply.objects.front().version;
    record_ = *record;
    if (record_.isSettled || !guardEnabled(Guard::SettleBeforeNext)) {
        stage_ = Stage::Idle;
        return;
    }
    // A previous holder may have declared this target, or may still do so. The target is declared
    // again unchanged but with the new fence, so that the platform rejects late messages of the
    // previous holder.
    if (record_.fence < authority->fence * ordersPerHolder) {
        record_.fence = nextFence(*authority);
        write(Stage::Recording);
        return;
    }
    stage_ = Stage::InDoubt;
}

void FleetManager::write(Stage stage)
{
    stage_ = stage;
    isCallPending_ = true;
    const auto method = stage == Stage::Recording ? &FleetManager::handleRecorded
                                                  : &FleetManager::handleResultRecorded;
    hooks_.store.put({FleetRecord::path(zone_), record_.toText(), version_},
                     forCurrentEpoch<StoreReply>(method));
}

void FleetManager::handleRecorded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        restartReading();
        return;
    }
    version_ = reply.version;
    declare();
}

void FleetManager::declare()
{
    const auto authority = usableAuthority();
    if (!authority) {
        restartReading();
        return;
    }
    stage_ = Stage::Declaring;
    isCallPending_ = true;
    FleetTarget target;
    target.domain = zone_.domain;
    target.costClass = zone_.costClass;
    target.count = record_.count;
    target.fence = record_.fence;
    target.clientToken = record_.clientToken;
    target.notAfter = authority->notAfter;
    hooks_.events(
        Event{&events::fleetTargetDeclared,
              {{"zone", FleetRecord::path(zone_)}, {"count", std::to_string(record_.count)}}});
    hooks_.fleet.setTarget(target, forCurrentEpoch<OrderReply>(&FleetManager::handleDeclared));
}

void FleetManager::handleDeclared(const OrderReply &reply)
{
    if (reply.status == OrderStatus::Accepted) {
        settle();
        return;
    }
    hooks_.events(Event{&events::fleetTargetInDoubt, {{"zone", FleetRecord::path(zone_)}}});
    stage_ = Stage::InDoubt;
    retryLater();
}

void FleetManager::readBack()
{
    isCallPending_ = true;
    hooks_.fleet.readTarget(
        zone_.domain, zone_.costClass,
        forCurrentEpoch<std::optional<FleetStatus>>(&FleetManager::handleReadBack));
}

void FleetManager::handleReadBack(const std::optional<FleetStatus> &status)
{
    retryLater();
    if (!status)
        return;
    const FleetTarget &target = status->target;
    if (target.clientToken == record_.clientToken) {
        settle();
        return;
    }
    // Number and token are the same, so it does not matter whether the first declaration still
    // arrives.
    if (target.fence <= record_.fence)
        declare();
}

void FleetManager::settle()
{
    record_.isSettled = true;
    write(Stage::RecordingResult);
}

void FleetManager::handleResultRecorded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        restartReading();
        return;
    }
    version_ = reply.version;
    stage_ = Stage::Idle;
}

} // namespace cuminrail
