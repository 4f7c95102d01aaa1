#include "engineview/measure/ViewCluster.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr Millis linkDelay{1};
constexpr Millis tickPeriod{50};
constexpr std::uint64_t percent = 100;

FailureDomainId domainOf(std::size_t index, std::size_t domains)
{
    return FailureDomainId("d" + std::to_string(index % domains));
}

} // namespace

ViewCluster::ViewCluster(const Size &size) : size_(size), scheduler_(size.seed)
{
    for (std::size_t engine = 0; engine < size.engines; ++engine) {
        EngineState state;
        state.engine = UpstreamId("engine-" + std::to_string(engine));
        state.incarnation = 1;
        state.models = {"model-" + std::to_string(engine % 8) + "@1"};
        states_.push_back(state);
        byEngine_[state.engine] = engine;
        EngineSettings settings;
        settings.id = state.engine;
        settings.domain = domainOf(engine, size.domains);
        engines_.push_back(settings);
    }
    for (std::size_t instance = 0; instance < size.instances; ++instance) {
        MemberRecord member;
        member.id = InstanceId("instance-" + std::to_string(instance));
        member.domain = domainOf(instance, size.domains);
        member.address = "10.0.0." + std::to_string(instance) + ":7100";
        byAddress_[member.address] = instance;
        members_.push_back(member);
        alive_.push_back(true);
    }
    for (std::size_t instance = 0; instance < size.instances; ++instance) {
        EngineView::Config config;
        config.self = members_[instance].id;
        const EngineView::Hooks hooks = {[this] { return runningMembers(); },
                                         [this, instance] { return neighboursOf(instance); }};
        views_.push_back(std::make_unique<EngineView>(config, engineControl(), transport(instance),
                                                      hooks, scheduler_.random()));
        views_.back()->setEngines(engines_);
        scheduler_.every(tickPeriod, [this, instance] {
            if (alive_[instance])
                views_[instance]->tick(scheduler_.now());
        });
    }
}

void ViewCluster::kill(std::size_t instance)
{
    alive_[instance] = false;
    for (std::size_t other = 0; other < views_.size(); ++other) {
        if (alive_[other])
            views_[other]->refreshPolled();
    }
}

std::size_t ViewCluster::countInformed(std::size_t engine) const
{
    std::size_t count = 0;
    for (std::size_t instance = 0; instance < views_.size(); ++instance) {
        const EngineState *known =
            views_[instance]->table().facts(engineKey(states_[engine].engine));
        if (alive_[instance] && known != nullptr && factsHash(*known) == factsHash(states_[engine]))
            ++count;
    }
    return count;
}

Millis ViewCluster::oldestReport() const
{
    Millis oldest{0};
    for (std::size_t instance = 0; instance < views_.size(); ++instance) {
        if (!alive_[instance])
            continue;
        for (const EngineState &state : states_) {
            const EngineReport *report = views_[instance]->table().find(engineKey(state.engine));
            const Millis age = report == nullptr ? Millis::never() : now() - report->sampledAt;
            oldest = std::max(oldest, age, [](Millis a, Millis b) { return a < b; });
        }
    }
    return oldest;
}

EngineControl ViewCluster::engineControl()
{
    EngineControl control;
    control.readState = [this](const UpstreamId &engine, auto done) {
        ++traffic_.polls;
        const std::size_t index = byEngine_.at(engine);
        scheduler_.after(linkDelay, [this, index, done] { done(states_[index]); });
    };
    return control;
}

PeerTransport ViewCluster::transport(std::size_t from)
{
    PeerTransport peers;
    peers.send = [this, from](const PeerAddress &to, const std::string &frame) {
        deliver(from, to, frame);
    };
    return peers;
}

void ViewCluster::deliver(std::size_t from, const PeerAddress &to, const std::string &frame)
{
    traffic_.bytes += frame.size();
    ++traffic_.frames;
    if (scheduler_.random()() % percent < size_.lossPercent)
        return;
    const std::size_t receiver = byAddress_.at(to);
    scheduler_.after(linkDelay, [this, from, receiver, frame] {
        if (alive_[receiver])
            views_[receiver]->handleFrame(members_[from].address, frame, scheduler_.now());
    });
}

std::vector<MemberRecord> ViewCluster::runningMembers() const
{
    std::vector<MemberRecord> running;
    for (std::size_t instance = 0; instance < members_.size(); ++instance) {
        if (alive_[instance])
            running.push_back(members_[instance]);
    }
    return running;
}

std::vector<PeerAddress> ViewCluster::neighboursOf(std::size_t instance) const
{
    std::vector<PeerAddress> neighbours;
    for (std::size_t step = 1; step < members_.size(); step *= 2) {
        const std::size_t neighbour = (instance + step) % members_.size();
        if (alive_[neighbour] && neighbour != instance)
            neighbours.push_back(members_[neighbour].address);
    }
    return neighbours;
}

} // namespace cuminrail
