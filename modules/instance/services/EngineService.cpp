#include "instance/services/EngineService.h"

#include "instance/serving/ServingSnapshot.h"

#include <random>

namespace cuminrail {

namespace {

constexpr Millis viewInterval{50};
constexpr Millis factsInterval{100};
constexpr Millis loadsInterval{250};
constexpr Millis ejectionInterval{250};
constexpr Millis teamDecayInterval = Millis::minutes(1);

EngineView::Config viewConfig(const ControlPlane &control)
{
    EngineView::Config config;
    config.self = control.context().config.instanceId;
    return config;
}

} // namespace

EngineService::EngineService(ControlPlane &control, MemberService &members,
                             const EngineControl &engines, const PeerTransport &peers)
    : control_(control),
      view_(viewConfig(control), engines, peers,
            {[&members] { return members.usable(); }, [&members] { return members.neighbours(); }},
            seededRandom(std::random_device()())),
      ejector_(EjectionOptions(), control.context().events)
{
    members.setFrameHook(FrameChannel::EngineReports,
                         [this](const PeerAddress &from, const std::string &frame) {
                             view_.handleFrame(from, frame, control_.thread().deadlines().now());
                         });
    members.addChangeHook([this] { view_.refreshPolled(); });
    members.addFactHook([this](const UrgentFact &fact) {
        if (fact.kind == UrgentFactKind::UpstreamLeaving)
            markLeaving({UpstreamId(fact.subject), fact.number});
    });
    control_.addTick(viewInterval, [this](Millis now) { view_.tick(now); });
    control_.addTick(factsInterval, [this](Millis) { publishFactsIfChanged(); });
    control_.addTick(loadsInterval, [this](Millis now) { publishLoads(now); });
    control_.addTick(ejectionInterval, [this](Millis now) {
        const RcuReadScope scope;
        const ServingSnapshot &snapshot = control_.context().snapshot.get(scope);
        ejector_.evaluate(snapshot.routing, control_.context().loads, now);
    });
    control_.addTick(teamDecayInterval, [this](Millis) { control_.context().loads.decayTeams(); });
    control_.addState("engines", [this] { return describe(); });
}

void EngineService::configure(const Settings &settings)
{
    view_.setEngines(settings.fleet.engines);
    std::vector<UpstreamId> knownUpstreams;
    for (const EngineSettings &engine : settings.fleet.engines)
        knownUpstreams.push_back(engine.id);
    for (const ServiceSettings &service : settings.fleet.services) {
        for (const ServiceUpstreamSettings &upstream : service.upstreams)
            knownUpstreams.push_back(upstream.id);
    }
    leaving_.retain(knownUpstreams);
}

void EngineService::markLeaving(const LeavingUpstream &upstream)
{
    if (!leaving_.mark(upstream))
        return;
    leavingChanged_ = true;
    publishFactsIfChanged();
}

void EngineService::publishFactsIfChanged()
{
    if (!leavingChanged_ && publishedFactsRevision_ == view_.table().factsRevision())
        return;
    leavingChanged_ = false;
    publishedFactsRevision_ = view_.table().factsRevision();
    FleetState fleetState;
    fleetState.leaving = leaving_;
    for (const EngineState *state : view_.table().knownFacts())
        fleetState.engines[state->engine] = {state->incarnation, state->role, state->models,
                                             state->adapters};
    control_.publishFacts(std::move(fleetState));
}

void EngineService::publishLoads(Millis now)
{
    StableIndexes &indexes = control_.builder().indexes();
    view_.publishLoads(
        control_.context().loads,
        [&indexes](const UpstreamId &engine) { return indexes.upstreams.find(engine); }, now);
}

nlohmann::json EngineService::describe() const
{
    const Millis now = control_.thread().deadlines().now();
    nlohmann::json engines = nlohmann::json::array();
    for (const EngineState *state : view_.table().knownFacts()) {
        const EngineReport *report = view_.table().find(engineKey(state->engine));
        engines.push_back({{"id", state->engine.text()},
                           {"incarnation", state->incarnation},
                           {"role", engineRoleNames.name(state->role)},
                           {"models", state->models},
                           {"running", report == nullptr ? 0 : report->running},
                           {"waiting", report == nullptr ? 0 : report->waiting},
                           {"age_ms", report == nullptr ? -1 : (now - report->sampledAt).count()},
                           {"leaving", leaving_.contains(state->engine, state->incarnation)}});
    }
    return {{"polled_here", view_.polledCount()}, {"known", engines}};
}

} // namespace cuminrail
