#include "policybench/policy/BaselinePolicy.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminrail::policybench {

namespace {

constexpr std::size_t maxQueueLength = 1000;
constexpr double estimatedOutputTokens = 256;
constexpr Millis failureAvoidanceTime = Millis::seconds(5);
constexpr double affinityLoadFactor = 1.25;
constexpr std::uint32_t maxAffinityPrefixTokens = 1024;
constexpr double prefillWindowSeconds = 0.45;

double targetMs(const AdmissionRequest &request, double engineRate)
{
    const double prefillMs = engineRate > 0 ? request.promptTokens / engineRate * 1000 : 0;
    const double target = std::max(750.0, 2 * prefillMs);
    return request.priority == Priority::Interactive ? target : 4 * target;
}

} // namespace

BaselinePolicy::BaselinePolicy(PolicySetup setup) : InstancePolicy(std::move(setup))
{ }

bool BaselinePolicy::hasCapacityFor(const TrackedRequest &tracked) const
{
    if (capacity_.slots > 0 && use_.requests + 1 > std::max(1.0, capacity_.slots))
        return false;
    if (setup_.kind != PolicyKind::LeastOutstandingWindow || use_.promptTokens <= 0)
        return true;
    return use_.promptTokens + tracked.request.promptTokens
        <= capacity_.prefillTokensPerSecond * prefillWindowSeconds;
}

void BaselinePolicy::startRequest(TrackedRequest &tracked)
{
    tracked.running = true;
    tracked.prefilling = true;
    use_.requests += 1;
    use_.promptTokens += tracked.request.promptTokens;
    (*setup_.sharedLimiters)[tracked.request.customer].started(tracked.request.promptTokens
                                                               + estimatedOutputTokens);
}

AdmissionDecision BaselinePolicy::submit(const AdmissionRequest &request, Millis now)
{
    AdmissionDecision decision;
    decision.expectedOutputTokens = static_cast<std::uint32_t>(estimatedOutputTokens);
    CustomerLimiter &limiter = (*setup_.sharedLimiters)[request.customer];
    if (const auto limit = limiter.exceededLimit(now)) {
        decision.code = *limit;
        return decision;
    }
    if (queue_.size() >= maxQueueLength)
        return decision;
    TrackedRequest tracked;
    tracked.request = request;
    tracked.expiresAt = request.priority == Priority::Batch ? request.deadline
                                                            : now
            + Millis(static_cast<std::int64_t>(
                targetMs(request, setup_.enginePrefillTokensPerSecond)));
    decision.ticket = nextTicket_++;
    if (queue_.empty() && hasCapacityFor(tracked)) {
        startRequest(tracked);
        decision.kind = AdmissionKind::Admitted;
    } else {
        queue_.push_back(decision.ticket);
        decision.kind = AdmissionKind::Queued;
    }
    trackedRequests_.emplace(decision.ticket, tracked);
    return decision;
}

void BaselinePolicy::admitFromQueue(AdmissionChanges &changes, Millis now)
{
    while (!queue_.empty()) {
        TrackedRequest &tracked = trackedRequests_.at(queue_.front());
        if (tracked.expiresAt < now) {
            changes.refused.push_back({queue_.front(), RefusalCode::Overloaded, {}});
            trackedRequests_.erase(queue_.front());
        } else if (hasCapacityFor(tracked)) {
            startRequest(tracked);
            changes.admitted.push_back(queue_.front());
        } else {
            return;
        }
        queue_.pop_front();
    }
}

AdmissionChanges BaselinePolicy::firstToken(AdmissionTicket ticket, Millis now)
{
    AdmissionChanges changes;
    const auto tracked = trackedRequests_.find(ticket);
    if (tracked != trackedRequests_.end() && tracked->second.prefilling) {
        tracked->second.prefilling = false;
        use_.promptTokens -= tracked->second.request.promptTokens;
        admitFromQueue(changes, now);
    }
    return changes;
}

void BaselinePolicy::removeRequest(AdmissionTicket ticket, double outputTokens)
{
    const TrackedRequest &tracked = trackedRequests_.at(ticket);
    if (tracked.running) {
        use_.requests -= 1;
        if (tracked.prefilling)
            use_.promptTokens -= tracked.request.promptTokens;
        (*setup_.sharedLimiters)[tracked.request.customer].finished(outputTokens
                                                                    - estimatedOutputTokens);
    } else {
        queue_.erase(std::find(queue_.begin(), queue_.end(), ticket));
    }
    trackedRequests_.erase(ticket);
}

AdmissionChanges BaselinePolicy::finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                                          Millis now)
{
    AdmissionChanges changes;
    removeRequest(ticket, outputTokens);
    admitFromQueue(changes, now);
    return changes;
}

AdmissionChanges BaselinePolicy::cancel(AdmissionTicket ticket, Millis now)
{
    return finished(ticket, 0, now);
}

AdmissionChanges BaselinePolicy::tick(Millis now)
{
    AdmissionChanges changes;
    for (auto ticket = queue_.begin(); ticket != queue_.end();) {
        if (trackedRequests_.at(*ticket).expiresAt >= now) {
            ++ticket;
            continue;
        }
        changes.refused.push_back({*ticket, RefusalCode::Overloaded, {}});
        trackedRequests_.erase(*ticket);
        ticket = queue_.erase(ticket);
    }
    admitFromQueue(changes, now);
    return changes;
}

void BaselinePolicy::control(Millis)
{
    capacity_ = capacity(use_);
}

bool BaselinePolicy::isEligible(UpstreamIndex index, const RoutingRequest &request, Millis now,
                                bool lastResort) const
{
    const RoutedUpstream &upstream = table_->upstream(index);
    const bool redoable = request.repeatable && request.priority == Priority::Batch;
    if (upstream.costClass == CostClass::Reclaimable && !redoable)
        return false;
    const bool tried =
        std::find(request.tried.begin(), request.tried.end(), index) != request.tried.end();
    const auto failed = failedAt_.find(index);
    const bool recentlyFailed =
        failed != failedAt_.end() && now < failed->second + failureAvoidanceTime;
    return lastResort || (!tried && !recentlyFailed);
}

std::vector<UpstreamIndex> BaselinePolicy::eligibleUpstreams(const RoutingRequest &request,
                                                             Millis now) const
{
    for (bool lastResort : {false, true}) {
        std::vector<UpstreamIndex> eligible;
        const RoutingPool &pool = table_->pool(request.pool);
        for (const PoolMembers *members : {&pool.mixed, &pool.prefill, &pool.decode}) {
            std::copy_if(
                members->all.begin(), members->all.end(), std::back_inserter(eligible),
                [&](UpstreamIndex index) { return isEligible(index, request, now, lastResort); });
        }
        if (!eligible.empty())
            return eligible;
    }
    return {};
}

UpstreamIndex BaselinePolicy::selectLeastOutstanding(const std::vector<UpstreamIndex> &candidates)
{
    const std::size_t first = setup_.random() % candidates.size();
    UpstreamIndex best = candidates[first];
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamIndex next = candidates[(first + i) % candidates.size()];
        if (loads_.upstream(next).requests < loads_.upstream(best).requests)
            best = next;
    }
    return best;
}

/** Selects by consistent hashing with bounded loads, keyed by the first tokens of the prompt. */
UpstreamIndex BaselinePolicy::selectByPrefix(const RoutingRequest &request,
                                             const std::vector<UpstreamIndex> &candidates)
{
    double sum = 0;
    for (UpstreamIndex index : candidates)
        sum += static_cast<double>(loads_.upstream(index).requests);
    const double bound = affinityLoadFactor * (sum + 1) / static_cast<double>(candidates.size());
    std::uint64_t hash = request.prefixes->front().hash;
    for (const PrefixPoint &point : *request.prefixes) {
        if (point.tokens <= maxAffinityPrefixTokens)
            hash = point.hash;
    }
    for (std::uint64_t salt = 0; salt < candidates.size(); ++salt) {
        const UpstreamIndex home = table_->pool(request.pool).home(mixHash(hash, salt));
        const bool isHomeEligible =
            std::find(candidates.begin(), candidates.end(), home) != candidates.end();
        if (isHomeEligible && static_cast<double>(loads_.upstream(home).requests) <= bound)
            return home;
    }
    return selectLeastOutstanding(candidates);
}

std::optional<RoutingChoice> BaselinePolicy::choose(const RoutingRequest &request, Millis now)
{
    const std::vector<UpstreamIndex> candidates = eligibleUpstreams(request, now);
    if (candidates.empty())
        return std::nullopt;
    RoutingChoice choice;
    if (setup_.kind == PolicyKind::RoundRobin)
        choice.upstream = candidates[roundRobinPosition_++ % candidates.size()];
    else if (setup_.kind == PolicyKind::PrefixAffinity)
        choice.upstream = selectByPrefix(request, candidates);
    else
        choice.upstream = selectLeastOutstanding(candidates);
    return choice;
}

} // namespace cuminrail::policybench
