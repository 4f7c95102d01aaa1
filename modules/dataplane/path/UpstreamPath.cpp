#include "dataplane/path/UpstreamPath.h"

#include <algorithm>

namespace cuminrail {

void UpstreamPath::connected(const UpstreamEntry &upstream, Millis now)
{
    probes_.erase(upstream.id);
    if (state_ != PathState::Cut)
        return setSound(now);
    trials_.insert(upstream.id);
    nextTrialAt_ = now;
    if (trials_.size() >= std::min(requiredTrials_, std::max<std::size_t>(1, census_.upstreams)))
        setSound(now);
}

void UpstreamPath::connectFailed(const UpstreamEntry &upstream, Millis now)
{
    probes_.erase(upstream.id);
    if (state_ == PathState::Cut) {
        trials_.clear();
        nextTrialAt_ = now + trialDelay();
        return;
    }
    state_ = PathState::Doubted;
    failures_[upstream.id] = upstream.failureDomain;
    judge(now);
}

void UpstreamPath::judge(Millis now)
{
    const bool hasUpstreams =
        failures_.size() >= std::min(cutUpstreams, std::max<std::size_t>(1, census_.upstreams));
    const bool hasDomains =
        domainsOfFailures() >= std::min(cutDomains, std::max<std::size_t>(1, census_.domains));
    if (census_.upstreams > 0 && hasUpstreams && hasDomains)
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

std::size_t UpstreamPath::domainsOfFailures() const
{
    std::set<std::string> domains;
    for (const auto &[id, domain] : failures_)
        domains.insert(domain);
    return domains.size();
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
        const bool isSilent = waitingSince_ && now - *waitingSince_ >= silence;
        return (isSilent || isSuspected_) && now >= nextSilenceProbeAt_ ? 1 : 0;
    }
    case PathState::Doubted: {
        const std::size_t known = failures_.size() + active;
        return now >= nextDoubtAt_ && known < cutUpstreams ? cutUpstreams - known : 0;
    }
    case PathState::Cut:
        return now >= nextTrialAt_ && active == 0 ? 1 : 0;
    }
    return 0;
}

std::vector<UpstreamPointer>
UpstreamPath::dueProbes(const std::unordered_map<std::string, UpstreamPointer> &upstreams,
                        Millis now)
{
    const std::size_t wanted = wantedProbes(now);
    if (wanted == 0)
        return {};
    std::map<std::string, std::vector<UpstreamPointer>> domains;
    census_ = {};
    for (const auto &[id, upstream] : upstreams) {
        if (upstream->isLeaving || upstream->isMisplaced)
            continue;
        auto &members = domains[upstream->entry.failureDomain];
        ++census_.upstreams;
        if (failures_.count(id) == 0 && trials_.count(id) == 0 && !isProbing(id, now))
            members.push_back(upstream);
    }
    census_.domains = domains.size();
    std::set<std::string> covered;
    for (const auto &[id, domain] : failures_)
        covered.insert(domain);
    std::vector<UpstreamPointer> due;
    while (due.size() < wanted) {
        // Domains without a sign come first; among equals the choice is random.
        std::vector<std::string> open;
        std::vector<std::string> fresh;
        for (const auto &[domain, members] : domains) {
            if (members.empty())
                continue;
            open.push_back(domain);
            if (covered.count(domain) == 0)
                fresh.push_back(domain);
        }
        if (open.empty())
            break;
        const auto &from = fresh.empty() ? open : fresh;
        const std::string &domain = from[random_() % from.size()];
        auto &members = domains[domain];
        const std::size_t pick = random_() % members.size();
        due.push_back(members[pick]);
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(pick));
        covered.insert(domain);
    }
    for (const UpstreamPointer &upstream : due)
        probes_[upstream->entry.id] = now;
    if (state_ == PathState::Sound) {
        nextSilenceProbeAt_ = now + silenceProbeInterval;
        isSuspected_ = false;
    }
    // Only now is it known how many upstreams there are to fail.
    if (state_ == PathState::Doubted && due.empty())
        judge(now);
    return due;
}

} // namespace cuminrail
