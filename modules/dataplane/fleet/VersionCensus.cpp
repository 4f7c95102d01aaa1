#include "dataplane/fleet/VersionCensus.h"

#include <algorithm>

namespace cuminrail {

void VersionCensus::begin(Millis now)
{
    if (!beganAt_)
        beganAt_ = now;
}

void VersionCensus::added(const std::string &service, const std::string &version, Millis now)
{
    Service &known = services_[service];
    for (auto it = known.versions.begin(); it != known.versions.end();) {
        const bool isOver = it->second.upstreams == 0 && now - it->second.removedAt >= retention_;
        it = isOver ? known.versions.erase(it) : std::next(it);
    }
    if (known.versions[version].upstreams++ == 0)
        known.lastChangeAt = now;
}

void VersionCensus::removed(const std::string &service, const std::string &version, Millis now)
{
    Version &known = services_[service].versions[version];
    if (known.upstreams > 0 && --known.upstreams == 0)
        known.removedAt = now;
}

std::vector<std::string> VersionCensus::listed(const std::string &service) const
{
    std::vector<std::string> versions;
    const auto found = services_.find(service);
    if (found == services_.end())
        return versions;
    for (const auto &[version, state] : found->second.versions) {
        if (state.upstreams > 0)
            versions.push_back(version);
    }
    return versions;
}

bool VersionCensus::isKnown(const std::string &service,
                            const std::function<bool(const std::string &version)> &matches,
                            Millis now) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return false;
    const auto &versions = found->second.versions;
    return std::any_of(versions.begin(), versions.end(), [&](const auto &each) {
        const bool isOver = each.second.upstreams == 0 && now - each.second.removedAt >= retention_;
        return !isOver && matches(each.first);
    });
}

std::optional<std::string> VersionCensus::onlyListed(const std::string &service) const
{
    const std::vector<std::string> versions = listed(service);
    return versions.size() == 1 ? std::optional<std::string>(versions.front()) : std::nullopt;
}

bool VersionCensus::isSettled(const std::string &service, Millis now) const
{
    const auto found = services_.find(service);
    const bool isNothingBefore =
        beganAt_ && nothingBeforeUntil_ && *beganAt_ <= *nothingBeforeUntil_;
    const bool isKnownSince = beganAt_ && (isNothingBefore || now - *beganAt_ >= retention_);
    if (!isKnownSince || found == services_.end())
        return false;
    std::size_t listedNow = 0;
    for (const auto &[version, state] : found->second.versions) {
        if (state.upstreams > 0)
            ++listedNow;
        else if (now - state.removedAt < retention_)
            return false;
    }
    return listedNow == 1;
}

Millis VersionCensus::lastChangeAt(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? Millis(0) : found->second.lastChangeAt;
}

} // namespace cuminrail
