#pragma once

#include "admission/admission.h"
#include "core/names/NameTable.h"
#include "policybench/engine/FakeEngine.h"
#include "routing/routing.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cuminrail::policybench {

enum class PolicyKind : std::uint8_t {
    RoundRobin,
    LeastOutstanding,
    PrefixAffinity,
    /** Least outstanding behind the same bound on prompts in progress as cuminrail. */
    LeastOutstandingWindow,
    /** Cuminrail as in a large deployment, where instances do not exchange their loads. */
    CuminrailReportsOnly,
    Cuminrail,
    /** Cuminrail with engine roles assigned by the capacity module. */
    CuminrailRoles,
    /** Cuminrail with roles that follow the request mix directly: the baseline for role changes. */
    CuminrailFollowMix,
};

inline constexpr NameTable<PolicyKind, 8> policyNames{{{
    {PolicyKind::RoundRobin, "round-robin"},
    {PolicyKind::LeastOutstanding, "least-outstanding"},
    {PolicyKind::PrefixAffinity, "prefix-affinity"},
    {PolicyKind::LeastOutstandingWindow, "least-outstanding-window"},
    {PolicyKind::CuminrailReportsOnly, "cuminrail-reports-only"},
    {PolicyKind::Cuminrail, "cuminrail"},
    {PolicyKind::CuminrailRoles, "cuminrail-roles"},
    {PolicyKind::CuminrailFollowMix, "cuminrail-follow-mix"},
}}};

/** Returns true for the policies that run this project's own admission and routing. */
inline bool isCuminrail(PolicyKind kind)
{
    return kind >= PolicyKind::CuminrailReportsOnly;
}

/** Set-up of one instance: state shared by all instances of a run, and its own parameters. */
struct PolicySetup
{
    PolicyKind kind = PolicyKind::Cuminrail;
    std::size_t instance = 0;
    std::size_t instances = 1;
    const AdmissionSettings *settings = nullptr;
    PoolIndex pool = 0;
    double enginePrefillTokensPerSecond = 0;
    /** For baselines: one limiter per customer, shared by all instances without delay. */
    std::vector<CustomerLimiter> *sharedLimiters = nullptr;
    /** Sends a frame of the budget ledger to another instance. */
    std::function<void(std::size_t to, const std::string &frame)> send;
    /** Sends a frame of the load exchange to another instance. */
    std::function<void(std::size_t to, const std::string &frame)> sendLoads;
    /** Called with the requests that a poll of the ledger admitted or refused. */
    std::function<void(const AdmissionChanges &)> changed;
    RandomHook random;
};

/** Admission and routing of one instance. Live counters are updated alike for all policies. */
class InstancePolicy
{
public:
    explicit InstancePolicy(PolicySetup setup);
    virtual ~InstancePolicy() = default;
    InstancePolicy(const InstancePolicy &) = delete;
    InstancePolicy &operator=(const InstancePolicy &) = delete;

    virtual AdmissionDecision submit(const AdmissionRequest &request, Millis now) = 0;
    virtual AdmissionChanges firstToken(AdmissionTicket ticket, Millis now) = 0;
    virtual AdmissionChanges finished(AdmissionTicket ticket, std::uint32_t outputTokens,
                                      Millis now) = 0;
    virtual AdmissionChanges cancel(AdmissionTicket ticket, Millis now) = 0;
    virtual AdmissionChanges tick(Millis now) = 0;
    /** Runs the control loop; called four times a second. */
    virtual void control(Millis now) = 0;
    virtual std::optional<RoutingChoice> choose(const RoutingRequest &request, Millis now) = 0;
    virtual void receive(const std::string &, Millis) { }
    virtual void receiveLoads(const std::string &, Millis) { }
    virtual void tableChanged() { }

    void setTable(std::shared_ptr<const RoutingTable> table)
    {
        table_ = std::move(table);
        tableChanged();
    }
    const RoutingTable &table() const { return *table_; }
    Router &router() { return router_; }
    /** Applies cache events of one engine; they arrive with a delay, and some may be missing. */
    void cacheEvents(UpstreamIndex upstream, const std::vector<CacheEvent> &events, Millis now);
    void attemptFailed(UpstreamIndex upstream, Millis now) { failedAt_[upstream] = now; }

protected:
    /** Returns this instance's share of the pool, computed from load reports and its own use. */
    AdmissionCapacity capacity(const PoolUse &localUse) const;

    PolicySetup setup_;
    std::shared_ptr<const RoutingTable> table_;
    LiveLoads loads_;
    PrefixHints hints_;
    Router router_;
    std::unordered_map<UpstreamIndex, CacheEventCursor> cursors_;
    std::unordered_map<UpstreamIndex, Millis> failedAt_;
};

/** Creates the policy of the given kind for one instance. */
std::unique_ptr<InstancePolicy> makeInstancePolicy(PolicySetup setup);

} // namespace cuminrail::policybench
