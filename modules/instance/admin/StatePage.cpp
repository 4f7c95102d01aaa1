#include "instance/admin/StatePage.h"

#include "runtime/time/BootClock.h"

namespace cuminrail {

namespace {

nlohmann::json upstreamState(const RoutedUpstream &upstream, const UpstreamLoad &upstreamLoad,
                             Millis now)
{
    nlohmann::json state;
    state["id"] = upstream.id.text();
    state["address"] = upstream.address;
    state["role"] = engineRoleNames.name(upstream.role);
    state["cost_class"] = costClassNames.name(upstream.costClass);
    state["takes_new_work"] = upstream.takesNewWork;
    state["own_requests"] = upstreamLoad.requests.load();
    state["own_prompt_tokens"] = upstreamLoad.promptTokens.load();
    state["own_output_tokens"] = upstreamLoad.outputTokens.load();
    state["others_requests"] = upstreamLoad.othersRequests.load();
    state["report_age_ms"] =
        upstreamLoad.reportedAt.load() < 0 ? -1 : now.count() - upstreamLoad.reportedAt.load();
    state["ejected"] = upstreamLoad.ejectedUntil.load() > now.count();
    return state;
}

} // namespace

nlohmann::json statePage(ServingContext &context,
                         const std::vector<std::unique_ptr<RequestWorker>> &workers)
{
    const InstanceConfig &config = context.config;
    nlohmann::json page;
    page["instance"] = {{"id", config.instanceId.text()},
                        {"failure_domain", config.failureDomain.text()},
                        {"region", config.region.text()},
                        {"threads", config.threads}};
    page["stopping"] = context.isStopping.load();
    page["stale_configuration"] = context.isStale.load();
    page["retry_budget"] = context.retryBudget.available();
    std::uint64_t inProgress = 0;
    for (const auto &worker : workers)
        inProgress += worker->counters().inProgress.load(std::memory_order_relaxed);
    page["requests_in_progress"] = inProgress;

    const RcuReadScope scope;
    const ServingSnapshot &snapshot = context.snapshot.get(scope);
    page["snapshot"] = {{"generation", snapshot.generation},
                        {"keys", snapshot.keys.size()},
                        {"pools", snapshot.routing.poolCount()}};
    const Millis now = bootTime();
    nlohmann::json upstreams = nlohmann::json::array();
    for (UpstreamIndex index = 0; index < snapshot.routing.upstreamCount(); ++index)
        upstreams.push_back(
            upstreamState(snapshot.routing.upstream(index), context.loads.upstream(index), now));
    page["upstreams"] = std::move(upstreams);
    return page;
}

} // namespace cuminrail
