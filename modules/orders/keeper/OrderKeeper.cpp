#include "orders/keeper/OrderKeeper.h"

#include <algorithm>
#include <set>

namespace cuminrail {

namespace {

/** Records read per tick at a take-over, so that taking up a large domain is no burst. */
constexpr int readsPerTick = 5;

bool isLoad(EngineOrderKind kind)
{
    return kind == EngineOrderKind::LoadModel || kind == EngineOrderKind::LoadAdapter;
}

} // namespace

OrderKeeper::OrderKeeper(const OrderTiming &timing, Hooks hooks)
    : timing_(timing), hooks_(std::move(hooks))
{ }

void OrderKeeper::setEngines(const std::vector<OrderedEngine> &engines)
{
    std::set<UpstreamId> wanted;
    for (const OrderedEngine &engine : engines) {
        wanted.insert(engine.id);
        auto &track = tracks_[engine.id];
        if (track) {
            track->setChecksFence(engine.checksFence);
            continue;
        }
        track = std::make_unique<EngineOrderTrack>(engine, timing_, hooks_.track);
        if (inCharge_)
            track->begin();
    }
    for (auto &[id, track] : tracks_) {
        if (wanted.count(id) == 0)
            track->end();
    }
}

void OrderKeeper::taken()
{
    inCharge_ = true;
    ++epoch_;
    ticketAsked_ = false;
    for (auto &[id, track] : tracks_)
        track->begin();
}

void OrderKeeper::lost()
{
    inCharge_ = false;
    ++epoch_;
    loads_.clear();
    for (auto &[id, track] : tracks_)
        track->end();
}

void OrderKeeper::tick()
{
    int reads = 0;
    for (auto &[id, track] : tracks_) {
        if (track->tick(reads < readsPerTick))
            ++reads;
    }
    startNextLoad();
}

bool OrderKeeper::request(const WantedOrder &wanted, Reason *lastReason)
{
    const auto track = tracks_.find(wanted.engine);
    if (track == tracks_.end())
        return fail(lastReason, wanted.engine.text(), "no engine of this duty");
    if (!isLoad(wanted.kind) || !hooks_.weightTicket)
        return track->second->request(wanted.kind, wanted.target, lastReason);
    if (!inCharge_)
        return fail(lastReason, wanted.engine.text(), "this instance is not in charge");
    const bool waits = std::any_of(loads_.begin(), loads_.end(), [&](const WantedOrder &other) {
        return other.engine == wanted.engine && other.target == wanted.target;
    });
    if (!waits)
        loads_.push_back(wanted);
    return true;
}

void OrderKeeper::startNextLoad()
{
    if (ticketAsked_ || loads_.empty() || hooks_.track.clock.now() < nextTicketAt_)
        return;
    // The weight store's rate is short when a mix swings: the loads that matter now go first,
    // and one whose engine is busy does not hold up the others.
    std::stable_sort(loads_.begin(), loads_.end(), [](const WantedOrder &a, const WantedOrder &b) {
        return a.urgency > b.urgency;
    });
    const auto ready = std::find_if(loads_.begin(), loads_.end(), [this](const WantedOrder &load) {
        return isIdle(load.engine);
    });
    if (ready == loads_.end())
        return;
    ticketAsked_ = true;
    const WantedOrder wanted = *ready;
    hooks_.weightTicket(wanted, [this, wanted, epoch = epoch_](const std::optional<Millis> &when) {
        if (epoch == epoch_)
            ticketAnswered(wanted, when);
    });
}

void OrderKeeper::ticketAnswered(const WantedOrder &wanted, const std::optional<Millis> &retryAfter)
{
    ticketAsked_ = false;
    if (retryAfter) {
        nextTicketAt_ = hooks_.track.clock.now() + *retryAfter;
        return;
    }
    loads_.erase(std::remove_if(loads_.begin(), loads_.end(),
                                [&](const WantedOrder &other) {
                                    return other.engine == wanted.engine
                                        && other.target == wanted.target;
                                }),
                 loads_.end());
    tracks_.at(wanted.engine)->request(wanted.kind, wanted.target, nullptr);
}

bool OrderKeeper::isIdle(const UpstreamId &engine) const
{
    const auto track = tracks_.find(engine);
    return track != tracks_.end() && track->second->stage() == EngineOrderTrack::Stage::Idle;
}

std::optional<OrderRecord> OrderKeeper::lastSettled(const UpstreamId &engine) const
{
    const auto track = tracks_.find(engine);
    if (track == tracks_.end())
        return std::nullopt;
    return track->second->lastSettled();
}

bool OrderKeeper::isQuiet() const
{
    return std::none_of(tracks_.begin(), tracks_.end(),
                        [](const auto &entry) { return entry.second->outstanding().has_value(); });
}

std::vector<OrderKeeper::View> OrderKeeper::view() const
{
    std::vector<View> views;
    for (const auto &[id, track] : tracks_)
        views.push_back(View{id, track->stage(), track->outstanding()});
    return views;
}

} // namespace cuminrail
