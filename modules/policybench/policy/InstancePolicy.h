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
    /** Least outstanding behind the same bound on prompts in progress as cuminrail has. */
    LeastOutstandingWindow,
    /** Cuminrail as in a large deployment, where instances do not tell each other their load. */
    CuminrailReportsOnly,
    Cuminrail,
    /** Cuminrail with roles that the capacity module changes. */
    CuminrailRoles,
    /** The same with roles that follow the mix directly: the baseline for role changes. */
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

/** Returns true for the policies that run this project's own decisions. */
inline bool isCuminrail(PolicyKind kind)
{
    return kind >= PolicyKind::CuminrailReportsOnly;
}

/** What all instances of one run share, and what each is told. */
struct PolicySetup
{
    PolicyKind kind = PolicyKind::Cuminrail;
    std::size_t instance = 0;
    std::size_t instances = 1;
    const AdmissionSettings *settings = nullptr;
    PoolIndex pool = 0;
    double enginePrefillTokensPerSecond = 0;
    /** Baselines hold the limits by one limiter a customer that all instances see at once. */
    std::vector<CustomerLimiter> *sharedLimiters = nullptr;
    /** Messages of the budget ledgers. */
    std::function<void(std::size_t to, const std::string &frame)> send;
    /** Messages of the load exchange. */
    std::function<void(std::size_t to, const std::string &frame)> sendLoads;
    /** What a poll of the ledger admitted or refused. */
    std::function<void(const AdmissionChanges &)> changed;
    RandomHook random;
};

/** One instance's decisions. The live counters are kept in the same way for every policy. */
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
    /** Four times a second. */
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
    /** Cache events of one engine arrived, late and perhaps not all. */
    void cacheEvents(UpstreamIndex upstream, const std::vector<CacheEvent> &events, Millis now);
    void attemptFailed(UpstreamIndex upstream, Millis now) { failedAt_[upstream] = now; }

protected:
    /** Returns this instance's share of the pool, from reports and own use. */
    AdmissionCapacity capacity(const PoolUse &own) const;

    PolicySetup setup_;
    std::shared_ptr<const RoutingTable> table_;
    LiveLoads loads_;
    PrefixHints hints_;
    Router router_;
    std::unordered_map<UpstreamIndex, CacheEventCursor> cursors_;
    std::unordered_map<UpstreamIndex, Millis> failedAt_;
};

/** Returns a new instance of a policy. */
std::unique_ptr<InstancePolicy> makeInstancePolicy(PolicySetup setup);

} // namespace cuminrail::policybench
