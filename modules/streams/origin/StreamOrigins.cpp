#include "streams/origin/StreamOrigins.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"
#include "dataplane/model/RouteIndex.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

/** A caller that repeats its request uses up to the same time again. */
constexpr std::int64_t requestsPerStream = 2;

bool hasSameTargets(const Route &one, const Route &other)
{
    return std::equal(one.targets.begin(), one.targets.end(), other.targets.begin(),
                      other.targets.end(), [](const RouteTarget &a, const RouteTarget &b) {
                          return a.service == b.service && a.weight == b.weight;
                      });
}

} // namespace

StreamOrigins::StreamOrigins(Environment environment)
    : environment_(std::move(environment)),
      records_(environment_.transport, environment_.clock, environment_.copies),
      startedAt_(environment_.clock.now())
{
    records_.statementAbout = [this](std::uint64_t scope) -> std::uint64_t {
        const auto name = routesByScope_.find(scope);
        if (name == routesByScope_.end())
            return 0;
        const Route &route = routes_.at(name->second).route;
        return isSettled(route) ? settlementOf(route) : 0;
    };
}

RecordKey StreamOrigins::keyOf(const std::string &customer, const std::string &route,
                               const std::string &streamId)
{
    return StableHash().add(customer).add(route).add(streamId).value();
}

RecordValue StreamOrigins::valueOf(const std::string &service, const std::string &softwareVersion)
{
    return std::max<RecordValue>(1, StableHash().add(service).add(softwareVersion).value());
}

std::uint64_t StreamOrigins::scopeOf(const std::string &route)
{
    return StableHash().add(route).value();
}

Millis StreamOrigins::longestStream(const Configuration &configuration)
{
    Millis longest(0);
    for (const Route &route : configuration.routes) {
        if (route.kind == RouteKind::Stream && route.canResume)
            longest = std::max(longest, route.timeout);
    }
    return longest * requestsPerStream;
}

void StreamOrigins::setConfiguration(const Configuration &configuration)
{
    records_.setLifetime(longestStream(configuration) + lifetimeReserve);
    std::map<std::string, KnownRoute> routes;
    for (const Route &route : configuration.routes) {
        if (route.kind != RouteKind::Stream || !route.canResume)
            continue;
        KnownRoute &known = routes[route.name];
        known.route = route;
        const auto before = routes_.find(route.name);
        if (before == routes_.end())
            continue;
        known.changedAt = before->second.changedAt;
        known.wasSettled = before->second.wasSettled;
        if (!hasSameTargets(before->second.route, route))
            known.changedAt = environment_.clock.now();
    }
    routes_ = std::move(routes);
    routesByScope_.clear();
    for (const auto &[name, known] : routes_)
        routesByScope_[scopeOf(name)] = name;
    checkSettled();
}

bool StreamOrigins::isSettled(const Route &route) const
{
    const Millis now = environment_.clock.now();
    const auto known = routes_.find(route.name);
    const bool isChanged = known == routes_.end()
        || (known->second.changedAt && now - *known->second.changedAt < records_.lifetime());
    if (isChanged || !environment_.isListFresh())
        return false;
    return std::all_of(route.targets.begin(), route.targets.end(), [&](const RouteTarget &target) {
        return environment_.versions.isSettled(target.service, now);
    });
}

std::uint64_t StreamOrigins::settlementOf(const Route &route) const
{
    StableHash hash;
    hash.add(route.name);
    for (const RouteTarget &target : route.targets) {
        const auto version = environment_.versions.onlyListed(target.service);
        if (!version)
            return 0;
        hash.add(target.service).add(target.weight).add(*version);
    }
    return std::max<std::uint64_t>(1, hash.value());
}

void StreamOrigins::began(RecordKey key, const Route &route, RecordValue value,
                          std::function<void()> done)
{
    if (isSettled(route)) {
        records_.remember(key, value);
        return done();
    }
    if (!guardEnabled(Guard::RecordBeforeEvent)) {
        records_.publish(key, value, nullptr);
        return done();
    }
    // An event whose record nobody keeps is passed on too: then the stream cannot be taken up
    // elsewhere, which its caller hears when it tries.
    records_.publish(key, value, [done = std::move(done)](bool) { done(); });
}

StreamOrigin StreamOrigins::soleOrigin(const StreamQuery &query) const
{
    const std::string &service = RouteIndex::target(query.route, query.streamId);
    // A caller that does not name the stream can only be served where all streams go.
    const auto version = environment_.versions.onlyListed(service);
    if (!version || (query.streamId.empty() && query.route.targets.size() > 1))
        return {};
    return {OriginStatus::Known, service, *version};
}

StreamOrigin StreamOrigins::originOf(const StreamQuery &query, RecordValue value) const
{
    for (const RouteTarget &target : query.route.targets) {
        for (const std::string &version : environment_.versions.listed(target.service)) {
            if (valueOf(target.service, version) == value)
                return {OriginStatus::Known, target.service, version};
        }
    }
    return {OriginStatus::Gone, {}, {}};
}

bool StreamOrigins::isListBehind(const StreamQuery &query, RecordValue value) const
{
    const Millis now = environment_.clock.now();
    const auto &targets = query.route.targets;
    return std::none_of(targets.begin(), targets.end(), [&](const RouteTarget &target) {
        return environment_.versions.isKnown(
            target.service,
            [&](const std::string &version) { return valueOf(target.service, version) == value; },
            now);
    });
}

void StreamOrigins::resolve(const StreamQuery &query, Completion done)
{
    // Also where one version alone is listed here: another instance may list a second one already,
    // and has begun the stream there.
    lookUp({query, std::move(done), environment_.clock.now(), {}});
}

void StreamOrigins::lookUp(Pending pending)
{
    const RecordKey key = pending.query.key;
    const std::uint64_t scope = scopeOf(pending.query.route.name);
    records_.lookUp(key, scope, [this, pending = std::move(pending)](const RecordOutcome &outcome) {
        onOutcome(pending, outcome);
    });
}

void StreamOrigins::onOutcome(Pending pending, const RecordOutcome &outcome)
{
    const bool mayAskLater = environment_.clock.now() - pending.firstAskedAt < repeatPeriod;
    if (outcome.result == RecordLookUp::Found) {
        if (mayAskLater && isListBehind(pending.query, outcome.value))
            return askLater(std::move(pending));
        return pending.done(originOf(pending.query, outcome.value));
    }
    const std::uint64_t own =
        environment_.isListFresh() ? settlementOf(pending.query.route) : std::uint64_t{0};
    const auto &statements = outcome.statements;
    const bool isConfirmed = own != 0 && outcome.result == RecordLookUp::Missing
        && (isSettled(pending.query.route)
            || std::find(statements.begin(), statements.end(), own) != statements.end());
    if (isConfirmed)
        return pending.done(soleOrigin(pending.query));
    if (outcome.result == RecordLookUp::Ambiguous || !mayAskLater || !mayAppear(pending)) {
        const bool isUnreachable = outcome.result == RecordLookUp::Unreachable;
        const auto status = isUnreachable ? OriginStatus::Unreachable : OriginStatus::Unknown;
        return pending.done({status, {}, {}});
    }
    askLater(std::move(pending));
}

void StreamOrigins::askLater(Pending pending)
{
    pending.askAgainAt = environment_.clock.now() + repeatInterval;
    repeated_.push_back(std::move(pending));
}

bool StreamOrigins::mayAppear(const Pending &pending) const
{
    const Millis now = environment_.clock.now();
    if (pending.query.streamId.empty())
        return false;
    if (!records_.hasPeers() || now - startedAt_ < spreadTime)
        return true;
    const auto known = routes_.find(pending.query.route.name);
    if (known != routes_.end() && known->second.changedAt
        && now - *known->second.changedAt < spreadTime)
        return true;
    const auto &targets = pending.query.route.targets;
    return std::any_of(targets.begin(), targets.end(), [&](const RouteTarget &target) {
        return now - environment_.versions.lastChangeAt(target.service) < spreadTime;
    });
}

void StreamOrigins::checkSettled()
{
    bool hasUnsettled = false;
    for (auto &[name, known] : routes_) {
        const bool isSettledNow = isSettled(known.route);
        hasUnsettled = hasUnsettled || (known.wasSettled && !isSettledNow);
        known.wasSettled = isSettledNow;
    }
    if (hasUnsettled && guardEnabled(Guard::StreamsPublishedOnChange))
        records_.publishUnsent();
}

void StreamOrigins::tick()
{
    const Millis now = environment_.clock.now();
    if (now >= nextCheckAt_) {
        nextCheckAt_ = now + checkInterval;
        checkSettled();
    }
    records_.tick();
    std::vector<Pending> due;
    for (auto it = repeated_.begin(); it != repeated_.end();) {
        if (now < it->askAgainAt) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = repeated_.erase(it);
    }
    for (Pending &pending : due)
        lookUp(std::move(pending));
}

void StreamOrigins::dropPending()
{
    records_.dropPending();
    repeated_.clear();
}

} // namespace cuminrail
