#include "policybench/policy/BaselinePolicy.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminrail::policybench {

namespace {

constexpr std::size_t longestQueue = 1000;
constexpr double expectedOutput = 256;
constexpr Millis avoidFailed = Millis::seconds(5);
constexpr double affinityBound = 1.25;
constexpr std::uint32_t homePrefixTokens = 1024;
constexpr double readingWindowSeconds = 0.45;

double targetMs(const AdmissionRequest &request, double engineRate)
{
    const double reading = engineRate > 0 ? request.promptTokens / engineRate * 1000 : 0;
    const double target = std::max(750.0, 2 * reading);
    return request.priority == Priority::Interactive ? target : 4 * target;
}

} // namespace

BaselinePolicy::BaselinePolicy(PolicySetup setup) : InstancePolicy(std::move(setup))
{ }

bool BaselinePolicy::fits(const Held &held) const
{
    if (capacity_.slots > 0 && use_.requests + 1 > std::max(1.0, capacity_.slots))
        return false;
    if (setup_.kind != PolicyKind::LeastOutstandingWindow || use_.promptTokens <= 0)
        return true;
    return use_.promptTokens + held.request.promptTokens
        <= capacity_.prefillTokensPerSecond * readingWindowSeconds;
}

void BaselinePolicy::start(Held &held)
{
    held.running = true;
    held.reading = true;
    use_.requests += 1;
    use_.promptTokens += held.request.promptTokens;
    (*setup_.sharedLimiters)[held.request.customer].started(held.request.promptTokens
                                                            + expectedOutput);
}

AdmissionDecision BaselinePolicy::submit(const AdmissionRequest &request, Millis now)
{
    AdmissionDecision decision;
    decision.expectedOutputTokens = static_cast<std::uint32_t>(expectedOutput);
    CustomerLimiter &limiter = (*setup_.sharedLimiters)[request.customer];
    if (const auto limit = limiter.exceededLimit(now)) {
        decision.code = *limit;
        return decision;
    }
    if (queue_.size() >= longestQueue)
        return decision;
    Held held;
    held.request = request;
    held.giveUpAt = request.priority == Priority::Batch ? request.deadline
                                                        : now
            + Millis(static_cast<std::int64_t>(
                targetMs(request, setup_.enginePrefillTokensPerSecond)));
    decision.ticket = nextTicket_++;
    if (queue_.empty() && fits(held)) {
        start(held);
        decision.kind = AdmissionKind::Admitted;
    } else {
        queue_.push_back(decision.ticket);
        decision.kind = AdmissionKind::Queued;
    }
    held_.emplace(decision.ticket, held);
    return decision;
}

void BaselinePolicy::serve(AdmissionChanges &changes, Millis now)
{
    while (!queue_.empty()) {
        Held &held = held_.at(queue_.front());
        if (held.giveUpAt < now) {
            changes.refused.push_back({queue_.front(), RefusalCode::Overloaded, {}});
            held_.erase(queue_.front());
        } else if (fits(held)) {
            start(held);
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
    const auto held = held_.find(ticket);
    if (held != held_.end() && held->second.reading) {
        held->second.reading = false;
        use_.promptTokens -= held->second.request.promptTokens;
        serve(changes, now);
    }
    return changes;
}

void BaselinePolicy::leave(AdmissionTicket ticket, double outputTokens)
{
    const Held &held = held_.at(ticket);
    if (held.running) {
        use_.requests -= 1;
        if (held.reading)
            use_.promptTokens -= held.request.promptTokens;
        (*setup_.sharedLimiters)[held.request.customer].finished(outputTokens - expectedOutput);
    } else {
        queue_.erase(std::find(queue_.begin(), queue_.end(), ticket));
    }
    held_.erase(ticket);
}

AdmissionChanges BaselinePolicy::finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                                          Millis now)
{
    AdmissionChanges changes;
    leave(ticket, outputTokens);
    serve(changes, now);
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
        if (held_.at(*ticket).giveUpAt >= now) {
            ++ticket;
            continue;
        }
        changes.refused.push_back({*ticket, RefusalCode::Overloaded, {}});
        held_.erase(*ticket);
        ticket = queue_.erase(ticket);
    }
    serve(changes, now);
    return changes;
}

void BaselinePolicy::control(Millis)
{
    capacity_ = capacity(use_);
}

bool BaselinePolicy::mayUse(UpstreamIndex index, const RoutingRequest &request, Millis now,
                            bool lastResort) const
{
    const RoutedUpstream &upstream = table_->upstream(index);
    const bool redoable = request.repeatable && request.priority == Priority::Batch;
    if (upstream.costClass == CostClass::Reclaimable && !redoable)
        return false;
    const bool tried =
        std::find(request.tried.begin(), request.tried.end(), index) != request.tried.end();
    const auto failed = failedAt_.find(index);
    const bool avoided = failed != failedAt_.end() && now < failed->second + avoidFailed;
    return lastResort || (!tried && !avoided);
}

std::vector<UpstreamIndex> BaselinePolicy::usable(const RoutingRequest &request, Millis now) const
{
    for (bool lastResort : {false, true}) {
        std::vector<UpstreamIndex> found;
        const RoutingPool &pool = table_->pool(request.pool);
        for (const PoolMembers *members : {&pool.mixed, &pool.prefill, &pool.decode}) {
            std::copy_if(
                members->all.begin(), members->all.end(), std::back_inserter(found),
                [&](UpstreamIndex index) { return mayUse(index, request, now, lastResort); });
        }
        if (!found.empty())
            return found;
    }
    return {};
}

UpstreamIndex BaselinePolicy::leastOutstanding(const std::vector<UpstreamIndex> &from)
{
    const std::size_t first = setup_.random() % from.size();
    UpstreamIndex best = from[first];
    for (std::size_t i = 0; i < from.size(); ++i) {
        const UpstreamIndex next = from[(first + i) % from.size()];
        if (loads_.upstream(next).requests < loads_.upstream(best).requests)
            best = next;
    }
    return best;
}

/** Consistent hashing with bounded load over the prompt's first tokens. */
UpstreamIndex BaselinePolicy::byPrefix(const RoutingRequest &request,
                                       const std::vector<UpstreamIndex> &from)
{
    double sum = 0;
    for (UpstreamIndex index : from)
        sum += static_cast<double>(loads_.upstream(index).requests);
    const double bound = affinityBound * (sum + 1) / static_cast<double>(from.size());
    std::uint64_t hash = request.prefixes->front().hash;
    for (const PrefixPoint &point : *request.prefixes) {
        if (point.tokens <= homePrefixTokens)
            hash = point.hash;
    }
    for (std::uint64_t salt = 0; salt < from.size(); ++salt) {
        const UpstreamIndex home = table_->pool(request.pool).home(mixHash(hash, salt));
        const bool usableHome = std::find(from.begin(), from.end(), home) != from.end();
        if (usableHome && static_cast<double>(loads_.upstream(home).requests) <= bound)
            return home;
    }
    return leastOutstanding(from);
}

std::optional<RoutingChoice> BaselinePolicy::choose(const RoutingRequest &request, Millis now)
{
    const std::vector<UpstreamIndex> from = usable(request, now);
    if (from.empty())
        return std::nullopt;
    RoutingChoice choice;
    if (setup_.kind == PolicyKind::RoundRobin)
        choice.upstream = from[turn_++ % from.size()];
    else if (setup_.kind == PolicyKind::PrefixAffinity)
        choice.upstream = byPrefix(request, from);
    else
        choice.upstream = leastOutstanding(from);
    return choice;
}

} // namespace cuminrail::policybench
