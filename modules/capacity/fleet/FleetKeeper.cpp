#include "capacity/fleet/FleetKeeper.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

using Json = nlohmann::json;

namespace {
constexpr Millis retryEvery{1000};
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
        fail(lastReason, "fleet target", "no JSON object");
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

FleetKeeper::FleetKeeper(Zone zone, Hooks hooks) : zone_(std::move(zone)), hooks_(std::move(hooks))
{ }

template<typename Reply>
std::function<void(const Reply &)> FleetKeeper::current(void (FleetKeeper::*method)(const Reply &))
{
    return [this, method, epoch = epoch_](const Reply &reply) {
        if (epoch != epoch_)
            return;
        busy_ = false;
        (this->*method)(reply);
    };
}

void FleetKeeper::taken()
{
    lost();
    stage_ = Stage::Reading;
    nextAt_ = hooks_.clock.now();
}

void FleetKeeper::lost()
{
    ++epoch_;
    busy_ = false;
    record_ = FleetRecord{};
    stage_ = Stage::Off;
}

std::optional<FleetRecord> FleetKeeper::last() const
{
    if (record_.clientToken.empty())
        return std::nullopt;
    return record_;
}

std::optional<Authority> FleetKeeper::usableAuthority() const
{
    const auto authority = hooks_.authority();
    if (!authority || authority->notAfter - hooks_.clock.now() < sendMargin)
        return std::nullopt;
    return authority;
}

/** As for orders to engines: rises with each target, also when a lease comes back as it was. */
FenceNumber FleetKeeper::nextFence(const Authority &authority)
{
    if (authority.fence != sequenceFence_)
        sequence_ = 0;
    sequenceFence_ = authority.fence;
    return authority.fence * ordersPerHolder + ++sequence_;
}

void FleetKeeper::retryLater()
{
    const auto drawn = hooks_.random() % static_cast<std::uint64_t>(retryEvery.count());
    nextAt_ = hooks_.clock.now() + retryEvery / 2 + Millis(static_cast<std::int64_t>(drawn));
}

void FleetKeeper::backToReading()
{
    stage_ = Stage::Reading;
    retryLater();
}

void FleetKeeper::tick()
{
    if (busy_ || hooks_.clock.now() < nextAt_)
        return;
    if (stage_ == Stage::Reading)
        read();
    else if (stage_ == Stage::InDoubt)
        readBack();
}

bool FleetKeeper::request(std::uint32_t count, Reason *lastReason)
{
    const std::string where = FleetRecord::path(zone_);
    if (stage_ != Stage::Idle)
        return fail(lastReason, where, "another target is not settled");
    const auto authority = usableAuthority();
    if (!authority)
        return fail(lastReason, where, "this instance is not in charge");
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

void FleetKeeper::read()
{
    busy_ = true;
    hooks_.store.get(FleetRecord::path(zone_), current<StoreReply>(&FleetKeeper::readDone));
}

void FleetKeeper::readDone(const StoreReply &reply)
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
    // A former holder may have declared this target, or be about to. It is declared again as it
    // stands, under the new fence: the platform then refuses whatever the former holder sends.
    if (record_.fence < authority->fence * ordersPerHolder) {
        record_.fence = nextFence(*authority);
        write(Stage::Recording);
        return;
    }
    stage_ = Stage::InDoubt;
}

void FleetKeeper::write(Stage stage)
{
    stage_ = stage;
    busy_ = true;
    const auto method =
        stage == Stage::Recording ? &FleetKeeper::recorded : &FleetKeeper::resultRecorded;
    hooks_.store.put({FleetRecord::path(zone_), record_.toText(), version_},
                     current<StoreReply>(method));
}

void FleetKeeper::recorded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        backToReading();
        return;
    }
    version_ = reply.version;
    declare();
}

void FleetKeeper::declare()
{
    const auto authority = usableAuthority();
    if (!authority) {
        backToReading();
        return;
    }
    stage_ = Stage::Declaring;
    busy_ = true;
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
    hooks_.fleet.setTarget(target, current<OrderReply>(&FleetKeeper::declared));
}

void FleetKeeper::declared(const OrderReply &reply)
{
    if (reply.status == OrderStatus::Accepted) {
        settle();
        return;
    }
    hooks_.events(Event{&events::fleetTargetInDoubt, {{"zone", FleetRecord::path(zone_)}}});
    stage_ = Stage::InDoubt;
    retryLater();
}

void FleetKeeper::readBack()
{
    busy_ = true;
    hooks_.fleet.readTarget(zone_.domain, zone_.costClass,
                            current<std::optional<FleetStatus>>(&FleetKeeper::readBackDone));
}

void FleetKeeper::readBackDone(const std::optional<FleetStatus> &status)
{
    retryLater();
    if (!status)
        return;
    const FleetTarget &target = status->target;
    if (target.clientToken == record_.clientToken) {
        settle();
        return;
    }
    // The same number with the same token: whether the first one still arrives does not matter.
    if (target.fence <= record_.fence)
        declare();
}

void FleetKeeper::settle()
{
    record_.isSettled = true;
    write(Stage::RecordingResult);
}

void FleetKeeper::resultRecorded(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        backToReading();
        return;
    }
    version_ = reply.version;
    stage_ = Stage::Idle;
}

} // namespace cuminrail
