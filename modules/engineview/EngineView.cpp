#include "engineview/EngineView.h"

#include "engineview/poll/PollerChoice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cuminrail {

namespace {

std::uint16_t clampCount(std::uint32_t count)
{
    constexpr std::uint32_t maxCount = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(count, maxCount));
}

EngineReport reportOf(const EngineState &state, Millis now)
{
    EngineReport report;
    report.engine = engineKey(state.engine);
    report.facts = factsHash(state);
    report.running = clampCount(state.running);
    report.waiting = clampCount(state.waiting);
    report.sampledAt = now - state.loadAge;
    return report;
}

} // namespace

EngineView::EngineView(Config config, EngineControl engines, PeerTransport peers, Hooks hooks,
                       RandomHook random)
    : config_(std::move(config)), engines_(std::move(engines)), peers_(std::move(peers)),
      hooks_(std::move(hooks)), random_(std::move(random))
{ }

EngineView::~EngineView()
{
    *alive_ = false;
}

void EngineView::setEngines(const std::vector<EngineSettings> &engines)
{
    settings_ = engines;
    std::vector<UpstreamId> ids;
    ids.reserve(engines.size());
    for (const EngineSettings &engine : engines)
        ids.push_back(engine.id);
    table_.setEngines(ids);
    refreshPolled();
}

void EngineView::refreshPolled()
{
    const std::vector<MemberRecord> members = hooks_.members();
    std::map<UpstreamId, Polled> polled;
    for (const EngineSettings &engine : settings_) {
        if (pollerOf(engine.id, engine.domain, members) != config_.self)
            continue;
        const auto previous = polled_.find(engine.id);
        if (previous != polled_.end())
            polled.insert(*previous);
        else
            polled.emplace(engine.id, Polled{engine.id, now_, false});
    }
    polled_ = std::move(polled);
}

void EngineView::tick(Millis now)
{
    now_ = now;
    for (auto &entry : polled_) {
        Polled &polled = entry.second;
        if (!polled.inFlight && now >= polled.nextPollAt && inFlight_ < config_.maxConcurrentPolls)
            poll(polled, now);
    }
    if (now >= nextForwardAt_) {
        nextForwardAt_ = now + config_.batchInterval;
        forwardUpdates(now);
    }
    if (now >= nextFactsQueryAt_) {
        nextFactsQueryAt_ = now + config_.factsQueryInterval;
        queryFacts(now);
    }
}

void EngineView::poll(Polled &polled, Millis now)
{
    // Without jitter all polls of a restarted instance would stay synchronised permanently.
    const auto jitter = static_cast<std::int64_t>(random_() % 200);
    polled.nextPollAt = now + config_.pollPeriod - Millis(jitter);
    polled.inFlight = true;
    ++inFlight_;
    engines_.readState(polled.engine,
                       [this, alive = alive_, engine = polled.engine](const auto &state) {
                           if (*alive)
                               onPolled(engine, state);
                       });
}

void EngineView::onPolled(const UpstreamId &engine, const std::optional<EngineState> &state)
{
    --inFlight_;
    const auto polled = polled_.find(engine);
    if (polled != polled_.end())
        polled->second.inFlight = false;
    if (!state)
        return;
    const EngineReport report = reportOf(*state, now_);
    recordUpdate(report.engine, table_.merge(report));
    table_.mergeFacts(*state);
}

void EngineView::recordUpdate(EngineKey engine, ReportMergeResult result)
{
    if (result == ReportMergeResult::FactsChanged)
        unsentChanges_.insert(engine);
    else if (result == ReportMergeResult::NewSample)
        unsentLoads_.insert(engine);
}

void EngineView::forwardUpdates(Millis now)
{
    if (!unsentChanges_.empty())
        forwardChanges(now);
    if (!unsentLoads_.empty()) {
        const std::string frame = reportFrame(unsentLoads_, now);
        for (const PeerAddress &neighbour : selectNeighbours())
            peers_.send(neighbour, frame);
    }
    unsentChanges_.clear();
    unsentLoads_.clear();
}

void EngineView::forwardChanges(Millis now)
{
    const std::string frame = reportFrame(unsentChanges_, now);
    const std::vector<EngineKey> changed(unsentChanges_.begin(), unsentChanges_.end());
    for (const PeerAddress &neighbour : hooks_.neighbours()) {
        peers_.send(neighbour, frame);
        // If the facts were only sent on request, each instance along a forwarding path would have
        // to wait for the previous one to fetch them.
        sendFacts(neighbour, changed, now);
    }
}

std::string EngineView::reportFrame(const std::set<EngineKey> &engines, Millis now) const
{
    ReportMessage message;
    message.kind = ReportMessageKind::Reports;
    for (const EngineKey engine : engines) {
        const EngineReport *report = table_.find(engine);
        if (report != nullptr && message.reports.size() < maxReportsPerFrame)
            message.reports.push_back(*report);
    }
    return encodeReportMessage(message, now);
}

std::vector<PeerAddress> EngineView::selectNeighbours()
{
    std::vector<PeerAddress> all = hooks_.neighbours();
    std::vector<PeerAddress> selected;
    while (selected.size() < config_.fanOut && !all.empty()) {
        const std::size_t pick = random_() % all.size();
        selected.push_back(all[pick]);
        all[pick] = all.back();
        all.pop_back();
    }
    return selected;
}

void EngineView::queryFacts(Millis now)
{
    std::map<PeerAddress, ReportMessage> queries;
    for (const EngineKey engine : table_.unknownFacts()) {
        const auto reporter = lastReporter_.find(engine);
        if (reporter == lastReporter_.end())
            continue;
        ReportMessage &query = queries[reporter->second];
        query.kind = ReportMessageKind::FactsWanted;
        if (query.wanted.size() < maxFactsPerFrame)
            query.wanted.push_back(engine);
    }
    for (const auto &[peer, query] : queries)
        peers_.send(peer, encodeReportMessage(query, now));
}

bool EngineView::handleFrame(const PeerAddress &from, const std::string &frame, Millis now)
{
    now_ = now;
    const auto message = decodeReportMessage(frame, now);
    if (!message)
        return false;
    switch (message->kind) {
    case ReportMessageKind::Reports:
        handleReports(from, message->reports);
        break;
    case ReportMessageKind::FactsWanted:
        sendFacts(from, message->wanted, now);
        break;
    case ReportMessageKind::Facts:
        for (const EngineState &state : message->facts)
            table_.mergeFacts(state);
        break;
    }
    return true;
}

void EngineView::handleReports(const PeerAddress &from, const std::vector<EngineReport> &reports)
{
    for (const EngineReport &report : reports) {
        const ReportMergeResult result = table_.merge(report);
        if (result == ReportMergeResult::Unchanged)
            continue;
        recordUpdate(report.engine, result);
        lastReporter_[report.engine] = from;
    }
}

void EngineView::sendFacts(const PeerAddress &to, const std::vector<EngineKey> &wanted, Millis now)
{
    ReportMessage reply;
    reply.kind = ReportMessageKind::Facts;
    for (const EngineKey engine : wanted) {
        const EngineState *state = table_.facts(engine);
        if (state != nullptr && reply.facts.size() < maxFactsPerFrame)
            reply.facts.push_back(*state);
    }
    if (!reply.facts.empty())
        peers_.send(to, encodeReportMessage(reply, now));
}

void EngineView::publishLoads(LiveLoads &loads,
                              const std::function<UpstreamIndex(const UpstreamId &)> &index,
                              Millis now) const
{
    for (const EngineSettings &engine : settings_) {
        const EngineReport *report = table_.find(engineKey(engine.id));
        const UpstreamIndex upstream = index(engine.id);
        if (report == nullptr || upstream == noIndex)
            continue;
        loads.applyReport(upstream, {report->running, report->waiting, 0}, now - report->sampledAt,
                          now);
    }
}

} // namespace cuminrail
