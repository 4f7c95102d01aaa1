#include "dataplane/path/UpstreamPath.h"

#include <algorithm>

namespace cuminrail {

namespace {

bool canBeProbed(const UpstreamRecord &upstream)
{
    return !upstream.isLeaving && !upstream.isMisplaced;
}

} // namespace

void UpstreamPath::connected(const UpstreamEntry &upstream, Millis now)
{
    probes_.erase(upstream.id);
    silent_.erase(upstream.incarnation());
    if (state_ != PathState::Cut)
        return setSound(now);
    if (trials_.empty())
        failures_.clear();
    failures_.erase(upstream.id);
    trials_.insert(upstream.id);
    nextTrialAt_ = now;
    const std::size_t left = census_.witnesses - std::min(census_.witnesses, evidence().upstreams);
    if (trials_.size() >= std::min(requiredTrials_, std::max<std::size_t>(1, left)))
        setSound(now);
}

void UpstreamPath::connectFailed(const UpstreamEntry &upstream, Millis now)
{
    probes_.erase(upstream.id);
    if (state_ == PathState::Cut)
        return trialFailed(upstream, now);
    if (state_ == PathState::Sound && isSilent(upstream.incarnation())) {
        isSuspected_ = true;
        return;
    }
    state_ = PathState::Doubted;
    failures_[upstream.id] = {upstream.failureDomain, upstream.incarnation()};
}

void UpstreamPath::trialFailed(const UpstreamEntry &upstream, Millis now)
{
    nextTrialAt_ = now + trialDelay();
    failures_[upstream.id] = {upstream.failureDomain, upstream.incarnation()};
    if (trials_.empty())
        return;
    const bool wasReached = trials_.count(upstream.id) > 0;
    if (wasReached || evidence().upstreams >= std::max(cutUpstreams, trials_.size())) {
        trials_.clear();
        failures_.clear();
    }
}

void UpstreamPath::judge(Millis now)
{
    const auto atLeastOne = [](std::size_t count) { return std::max<std::size_t>(1, count); };
    const Evidence found = evidence();
    const bool hasUpstreams =
        found.upstreams >= std::min(cutUpstreams, atLeastOne(census_.witnesses));
    const bool hasDomains = found.domains >= std::min(cutDomains, atLeastOne(census_.domains));
    // Where few upstreams count, one of the others may be reached.
    const bool hasTried = failures_.size() >= std::min(cutUpstreams, census_.listed);
    if (census_.listed > 0 && hasUpstreams && hasDomains && hasTried)
        setCut(now);
}

void UpstreamPath::requestSent(Millis now)
{
    if (!waitingSince_)
        waitingSince_ = now;
}

void UpstreamPath::setSound(Millis now)
{
    if (state_ == PathState::Cut)
        soundSince_ = now;
    if (state_ == PathState::Doubted)
        nextDoubtAt_ = now + doubtInterval;
    for (const auto &[id, failure] : failures_)
        silent_.insert(failure.incarnation);
    state_ = PathState::Sound;
    isSuspected_ = false;
    failures_.clear();
    trials_.clear();
}

void UpstreamPath::setCut(Millis now)
{
    const bool isRelapse = soundSince_ && now - *soundSince_ < relapseWindow;
    requiredTrials_ = isRelapse ? std::min(requiredTrials_ * 2, maxTrials) : minTrials;
    state_ = PathState::Cut;
    cutSince_ = now;
    failures_.clear();
    trials_.clear();
    waitingSince_.reset();
    nextTrialAt_ = now + trialDelay();
}

Millis UpstreamPath::trialDelay() const
{
    const auto jitter = random_() % static_cast<std::uint64_t>(trialJitter.count());
    return trialInterval + Millis(static_cast<std::int64_t>(jitter));
}

UpstreamPath::Evidence UpstreamPath::evidence() const
{
    Evidence found;
    std::set<std::string> domains;
    for (const auto &[id, failure] : failures_) {
        if (isSilent(failure.incarnation))
            continue;
        ++found.upstreams;
        domains.insert(failure.domain);
    }
    found.domains = domains.size();
    return found;
}

bool UpstreamPath::isProbing(const std::string &id, Millis now) const
{
    const auto found = probes_.find(id);
    return found != probes_.end() && now - found->second < probeTimeout;
}

std::size_t UpstreamPath::wantedProbes(Millis now) const
{
    const auto active = static_cast<std::size_t>(
        std::count_if(probes_.begin(), probes_.end(),
                      [&](const auto &probe) { return now - probe.second < probeTimeout; }));
    switch (state_) {
    case PathState::Sound: {
        const bool areRequestsSilent = waitingSince_ && now - *waitingSince_ >= silence;
        return (areRequestsSilent || isSuspected_) && now >= nextSilenceProbeAt_ ? 1 : 0;
    }
    case PathState::Doubted: {
        const std::size_t known = evidence().upstreams + active;
        return now >= nextDoubtAt_ && known < cutUpstreams ? cutUpstreams - known : 0;
    }
    case PathState::Cut:
        return now >= nextTrialAt_ && active == 0 ? 1 : 0;
    }
    return 0;
}

void UpstreamPath::takeCensus(const Upstreams &upstreams)
{
    census_ = {};
    std::set<UpstreamIncarnation> silent;
    std::set<std::string> domains;
    for (const auto &[id, upstream] : upstreams) {
        if (!canBeProbed(*upstream))
            continue;
        ++census_.listed;
        if (isSilent(upstream->incarnation()))
            silent.insert(upstream->incarnation());
        else
            domains.insert(upstream->entry.failureDomain);
    }
    census_.witnesses = census_.listed - silent.size();
    census_.domains = domains.size();
    silent_ = std::move(silent);
    // Without the upstreams that were reached, the others are all that is left to ask.
    if (census_.witnesses == 0 && !silent_.empty()) {
        silent_.clear();
        takeCensus(upstreams);
    }
}

UpstreamPath::UpstreamsByDomain
UpstreamPath::untried(const Upstreams &upstreams, Millis now,
                      const std::function<bool(const UpstreamRecord &)> &filter) const
{
    UpstreamsByDomain domains;
    for (const auto &[id, upstream] : upstreams) {
        if (canBeProbed(*upstream) && failures_.count(id) == 0 && !isProbing(id, now)
            && filter(*upstream))
            domains[upstream->entry.failureDomain].push_back(upstream);
    }
    return domains;
}

void UpstreamPath::pick(UpstreamsByDomain from, std::size_t wanted,
                        std::vector<UpstreamPointer> &due) const
{
    std::set<std::string> covered;
    for (const auto &[id, failure] : failures_)
        covered.insert(failure.domain);
    for (const UpstreamPointer &upstream : due)
        covered.insert(upstream->entry.failureDomain);
    while (due.size() < wanted) {
        // Domains without a sign come first; among equals the choice is random.
        std::vector<std::string> open;
        std::vector<std::string> fresh;
        for (const auto &[domain, members] : from) {
            if (members.empty())
                continue;
            open.push_back(domain);
            if (covered.count(domain) == 0)
                fresh.push_back(domain);
        }
        if (open.empty())
            break;
        const auto &domains = fresh.empty() ? open : fresh;
        const std::string &domain = domains[random_() % domains.size()];
        auto &members = from[domain];
        const std::size_t chosen = random_() % members.size();
        due.push_back(members[chosen]);
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(chosen));
        covered.insert(domain);
    }
}

std::vector<UpstreamPointer> UpstreamPath::choose(const Upstreams &upstreams, std::size_t wanted,
                                                  Millis now)
{
    const auto wasReached = [this](const UpstreamRecord &upstream) {
        return trials_.count(upstream.entry.id) > 0;
    };
    const auto isWitness = [&](const UpstreamRecord &upstream) {
        return !isSilent(upstream.incarnation()) && !wasReached(upstream);
    };
    const auto isSilentUpstream = [this](const UpstreamRecord &upstream) {
        return isSilent(upstream.incarnation());
    };
    std::vector<UpstreamPointer> due;
    pick(untried(upstreams, now, isWitness), wanted, due);
    const bool areWitnessesTried = due.empty();
    // When all others were tried, one that was reached shows whether the path still is sound.
    if (trials_.empty())
        pick(untried(upstreams, now, isSilentUpstream), wanted, due);
    else
        pick(untried(upstreams, now, wasReached), wanted, due);
    if (state_ != PathState::Cut)
        return due;
    if (due.empty() && !failures_.empty()) {
        failures_.clear();
        return choose(upstreams, wanted, now);
    }
    // One silent upstream is tried between two rounds of the others.
    if (areWitnessesTried && trials_.empty())
        forgetWitnesses();
    return due;
}

void UpstreamPath::forgetWitnesses()
{
    for (auto each = failures_.begin(); each != failures_.end();)
        each = isSilent(each->second.incarnation) ? std::next(each) : failures_.erase(each);
}

std::vector<UpstreamPointer> UpstreamPath::dueProbes(const Upstreams &upstreams, Millis now)
{
    if (state_ != PathState::Doubted && wantedProbes(now) == 0)
        return {};
    takeCensus(upstreams);
    if (state_ == PathState::Doubted)
        judge(now);
    const std::size_t wanted = wantedProbes(now);
    if (wanted == 0)
        return {};
    std::vector<UpstreamPointer> due = choose(upstreams, wanted, now);
    for (const UpstreamPointer &upstream : due)
        probes_[upstream->entry.id] = now;
    if (state_ == PathState::Sound) {
        nextSilenceProbeAt_ = now + silenceProbeInterval;
        isSuspected_ = false;
    }
    return due;
}

} // namespace cuminrail
