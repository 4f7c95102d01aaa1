#include "engineview/EngineView.h"

#include "engineview/poll/PollerChoice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cuminrail {

namespace {

std::uint16_t clampCount(std::uint32_t count)
{
    constexpr std::uint32_t most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(count, most));
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
        const auto before = polled_.find(engine.id);
        if (before != polled_.end())
            polled.insert(*before);
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
        if (!polled.inFlight && now >= polled.nextPoll && inFlight_ < config_.pollsInFlight)
            poll(polled, now);
    }
    if (now >= nextPass_) {
        nextPass_ = now + config_.gatherPeriod;
        passOn(now);
    }
    if (now >= nextAsk_) {
        nextAsk_ = now + config_.askPeriod;
        askForFacts(now);
    }
}

void EngineView::poll(Polled &polled, Millis now)
{
    // Without the random part all polls of a restarted instance would stay in step for ever.
    const auto jitter = static_cast<std::int64_t>(random_() % 200);
    polled.nextPoll = now + config_.pollPeriod - Millis(jitter);
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
    noteNews(report.engine, table_.merge(report));
    table_.learn(*state);
}

void EngineView::noteNews(EngineKey engine, ReportNews news)
{
    if (news == ReportNews::Facts)
        changed_.insert(engine);
    else if (news == ReportNews::Load)
        fresh_.insert(engine);
}

void EngineView::passOn(Millis now)
{
    if (!changed_.empty())
        passOnChanges(now);
    if (!fresh_.empty()) {
        const std::string frame = reportFrame(fresh_, now);
        for (const PeerAddress &neighbour : drawNeighbours())
            peers_.send(neighbour, frame);
    }
    changed_.clear();
    fresh_.clear();
}

void EngineView::passOnChanges(Millis now)
{
    const std::string frame = reportFrame(changed_, now);
    const std::vector<EngineKey> changed(changed_.begin(), changed_.end());
    for (const PeerAddress &neighbour : hooks_.neighbours()) {
        peers_.send(neighbour, frame);
        // Left to ask for the facts, each instance in a chain would wait for the one before it.
        answerFacts(neighbour, changed, now);
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

std::vector<PeerAddress> EngineView::drawNeighbours()
{
    std::vector<PeerAddress> all = hooks_.neighbours();
    std::vector<PeerAddress> drawn;
    while (drawn.size() < config_.fanOut && !all.empty()) {
        const std::size_t place = random_() % all.size();
        drawn.push_back(all[place]);
        all[place] = all.back();
        all.pop_back();
    }
    return drawn;
}

void EngineView::askForFacts(Millis now)
{
    std::map<PeerAddress, ReportMessage> questions;
    for (const EngineKey engine : table_.unknownFacts()) {
        const auto teller = teller_.find(engine);
        if (teller == teller_.end())
            continue;
        ReportMessage &question = questions[teller->second];
        question.kind = ReportMessageKind::FactsWanted;
        if (question.wanted.size() < maxFactsPerFrame)
            question.wanted.push_back(engine);
    }
    for (const auto &[peer, question] : questions)
        peers_.send(peer, encodeReportMessage(question, now));
}

bool EngineView::receive(const PeerAddress &from, const std::string &frame, Millis now)
{
    now_ = now;
    const auto message = decodeReportMessage(frame, now);
    if (!message)
        return false;
    switch (message->kind) {
    case ReportMessageKind::Reports:
        takeReports(from, message->reports);
        break;
    case ReportMessageKind::FactsWanted:
        answerFacts(from, message->wanted, now);
        break;
    case ReportMessageKind::Facts:
        for (const EngineState &state : message->facts)
            table_.learn(state);
        break;
    }
    return true;
}

void EngineView::takeReports(const PeerAddress &from, const std::vector<EngineReport> &reports)
{
    for (const EngineReport &report : reports) {
        const ReportNews news = table_.merge(report);
        if (news == ReportNews::None)
            continue;
        noteNews(report.engine, news);
        teller_[report.engine] = from;
    }
}

void EngineView::answerFacts(const PeerAddress &to, const std::vector<EngineKey> &wanted,
                             Millis now)
{
    ReportMessage answer;
    answer.kind = ReportMessageKind::Facts;
    for (const EngineKey engine : wanted) {
        const EngineState *state = table_.facts(engine);
        if (state != nullptr && answer.facts.size() < maxFactsPerFrame)
            answer.facts.push_back(*state);
    }
    if (!answer.facts.empty())
        peers_.send(to, encodeReportMessage(answer, now));
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
        loads.report(upstream, {report->running, report->waiting, 0}, now - report->sampledAt, now);
    }
}

} // namespace cuminrail
