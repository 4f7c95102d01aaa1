#pragma once

#include "core/names/NameTable.h"

#include <cstdint>

namespace cuminrail {

/**
    Pieces of code that keep a promise, each of which tests can switch off.

    A promise whose guard can be taken out without any test noticing is not proved. The mutation
    run switches one off at a time and lists the tests that turn red.

    @see guardEnabled
*/
enum class Guard : std::uint8_t {
    /** A withdrawn or unknown key is refused at every request, not once per connection. */
    KeyCheckedEachRequest,
    /** A request that may have run is not sent again unless it is idempotent. */
    VerdictBeforeRetry,
    /** A non-repeatable call is claimed in the store before it is sent. */
    ClaimBeforeDispatch,
    /** A lease counts from before its request was sent. */
    LeaseCountedFromSend,
    /** A version of settings never goes back. */
    VersionOnlyForward,
    /** A successor waits a full term from when it first saw the version it replaces. */
    SuccessorWaitsFullTerm,
    /** Every change of a lease's holder gives a higher fence. */
    FenceRisesWithHolder,
    /** A write without an answer is settled by reading back its token. */
    LostAnswerReadBack,
    /** An upstream or receiver that checks fences refuses lower ones. */
    FenceChecked,
    /** The platform refuses a fleet target with a lower fence. */
    FleetFenceChecked,
    /** The holder looks at its lease again just before it sends. */
    AuthorityCheckedBeforeSend,
    /** The adapter looks at the lease again when the bytes leave. */
    AuthorityCheckedAtWrite,
    /** An order is recorded in the store before it is sent. */
    RecordBeforeSend,
    /** An order without a known result is settled before a different one goes out. */
    SettleBeforeNext,
    /** A successor waits until no send of the former holder can still arrive. */
    WaitForSendsInFlight,
    /** A usage window's figures are created once and never overwritten. */
    SealCreatedOnce,
    /** A usage window is reported from its sealed bytes, never computed anew. */
    ReportFromSeal,
    Count,
};

inline constexpr NameTable<Guard, 17> guardNames{{{
    {Guard::KeyCheckedEachRequest, "key-checked-each-request"},
    {Guard::VerdictBeforeRetry, "verdict-before-retry"},
    {Guard::ClaimBeforeDispatch, "claim-before-dispatch"},
    {Guard::LeaseCountedFromSend, "lease-counted-from-send"},
    {Guard::VersionOnlyForward, "version-only-forward"},
    {Guard::SuccessorWaitsFullTerm, "successor-waits-full-term"},
    {Guard::FenceRisesWithHolder, "fence-rises-with-holder"},
    {Guard::LostAnswerReadBack, "lost-answer-read-back"},
    {Guard::FenceChecked, "fence-checked"},
    {Guard::FleetFenceChecked, "fleet-fence-checked"},
    {Guard::AuthorityCheckedBeforeSend, "authority-checked-before-send"},
    {Guard::AuthorityCheckedAtWrite, "authority-checked-at-write"},
    {Guard::RecordBeforeSend, "record-before-send"},
    {Guard::SettleBeforeNext, "settle-before-next"},
    {Guard::WaitForSendsInFlight, "wait-for-sends-in-flight"},
    {Guard::SealCreatedOnce, "seal-created-once"},
    {Guard::ReportFromSeal, "report-from-seal"},
}}};

namespace detail {
/** The guard that a test has switched off, Guard::Count for none. */
inline Guard disabledGuard = Guard::Count;
} // namespace detail

/** Returns true unless a test has switched this guard off. */
inline bool guardEnabled(Guard guard)
{
    return detail::disabledGuard != guard;
}

/** Switches one guard off for as long as this object lives. For tests alone. */
class DisabledGuard
{
public:
    explicit DisabledGuard(Guard guard) : previous_(detail::disabledGuard)
    {
        detail::disabledGuard = guard;
    }
    ~DisabledGuard() { detail::disabledGuard = previous_; }
    DisabledGuard(const DisabledGuard &) = delete;
    DisabledGuard &operator=(const DisabledGuard &) = delete;

private:
    Guard previous_;
};

} // namespace cuminrail
