#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail::standin {

/** What a stand-in does wrong with one request. */
enum class FaultKind : std::uint8_t {
    /** The connection is closed and nothing takes effect; unread, when the rule has no filter. */
    Down,
    /** Nothing takes effect and nothing is answered; the connection stays open. */
    Silent,
    /** Waits before the request takes effect. */
    Slow,
    /** Takes effect, answers later. */
    Late,
    /** Takes effect; the connection is closed after part of the answer, or none of it. */
    LoseAnswer,
    /** As LoseAnswer, with a TCP reset. */
    Reset,
    /** As LoseAnswer, but the connection stays open and silent for good. */
    Stall,
    /** Refused with a status; nothing takes effect. */
    Refuse,
    /** Reads are answered from some revisions ago (platform alone). */
    LaggingReads,
};

inline constexpr NameTable<FaultKind, 9> faultKindNames{{{
    {FaultKind::Down, "down"},
    {FaultKind::Silent, "silent"},
    {FaultKind::Slow, "slow"},
    {FaultKind::Late, "late"},
    {FaultKind::LoseAnswer, "lose-answer"},
    {FaultKind::Reset, "reset"},
    {FaultKind::Stall, "stall"},
    {FaultKind::Refuse, "refuse"},
    {FaultKind::LaggingReads, "lagging-reads"},
}}};

/** One fault and the requests that meet it. */
struct FaultRule
{
    FaultKind kind = FaultKind::Down;
    /** Filters; empty matches all. */
    std::string method;
    std::string pathPrefix;
    /** Callers by their X-Instance header. */
    std::vector<std::string> instances;
    /** Matching requests that pass unharmed before the rule begins. */
    std::uint32_t skip = 0;
    /** How many requests are hit; nothing for all. */
    std::optional<std::uint32_t> count;
    /** Which share of the matching requests is hit, drawn from the plan's seed. */
    double share = 1;
    /** For Slow and Late. */
    std::uint32_t delayMs = 0;
    /** How much of the answer goes out before LoseAnswer, Reset or Stall. */
    std::uint32_t bytes = 0;
    std::uint32_t events = 0;
    /** For Refuse. */
    unsigned status = 503;
    /** For LaggingReads. */
    std::uint64_t revisions = 0;

    /** Returns true when the rule needs no part of the request to decide. */
    bool isUnfiltered() const { return method.empty() && pathPrefix.empty() && instances.empty(); }
};

/** What a rule is matched against. */
struct FaultSubject
{
    std::string_view method;
    std::string_view path;
    std::string_view instance;
};

/** The faults in force. Not thread-safe: used on the server's thread alone. */
class FaultPlan
{
public:
    /** Reads `{"seed": N, "rules": [{"fault": …, …}]}`; unknown names are refused. */
    static std::optional<FaultPlan> fromJson(const nlohmann::json &json, Reason *lastReason);

    /** Returns the first Down or Silent rule without filters that hits a request not yet read. */
    std::optional<FaultRule> hitUnread();

    /** Returns the first rule that hits this request. */
    std::optional<FaultRule> hit(const FaultSubject &subject);

private:
    struct ActiveRule
    {
        FaultRule rule;
        std::uint32_t seen = 0;
        std::uint32_t hits = 0;
    };

    bool draw(ActiveRule &active);

    std::vector<ActiveRule> rules_;
    std::mt19937_64 random_{1};
};

} // namespace cuminrail::standin
