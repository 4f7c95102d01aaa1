#pragma once

#include "dataplane/model/Configuration.h"
#include "gateway/request/RelayCounters.h"
#include "quarantine/exchange/QuarantineExchange.h"
#include "quotas/exchange/QuotaExchange.h"
#include "upstreamlimits/exchange/LimitExchange.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <string>

namespace cuminrail {

/** How a request ended, for its caller. */
enum class RequestOutcome : std::uint8_t {
    Served,
    /** An upstream answered with a failure of its own. */
    UpstreamError,
    Refused,
    Failed,
    CallerLeft,
};

inline constexpr NameTable<RequestOutcome, 5> requestOutcomeNames{{{
    {RequestOutcome::Served, "served"},
    {RequestOutcome::UpstreamError, "upstream-error"},
    {RequestOutcome::Refused, "refused"},
    {RequestOutcome::Failed, "failed"},
    {RequestOutcome::CallerLeft, "caller-left"},
}}};

/** Why a request got no upstream's answer; the log line's reason says more. */
enum class GiveUpCause : std::uint8_t {
    NoConfiguration,
    Malformed,
    NoRoute,
    UnknownKey,
    NoUpstream,
    /** Upstreams stated that they have no room. */
    Full,
    Unreachable,
    /** An upstream took it and broke, fell silent or sent what is no answer. */
    Broken,
    RepeatLimit,
    TimeOver,
    /** Its caller will have left before any engine can begin with it. */
    Overload,
    /** Its customer is over its quota. */
    OverQuota,
    /** Nobody could tell how much its customer has used. */
    QuotaUnknown,
    /** Upstreams ended under requests that ask the same. */
    Quarantined,
    /** Upstreams in need take no more requests at the moment. */
    UpstreamLimit,
};

inline constexpr NameTable<GiveUpCause, 15> giveUpCauseNames{{{
    {GiveUpCause::NoConfiguration, "no-configuration"},
    {GiveUpCause::Malformed, "malformed"},
    {GiveUpCause::NoRoute, "no-route"},
    {GiveUpCause::UnknownKey, "unknown-key"},
    {GiveUpCause::NoUpstream, "no-upstream"},
    {GiveUpCause::Full, "full"},
    {GiveUpCause::Unreachable, "unreachable"},
    {GiveUpCause::Broken, "broken"},
    {GiveUpCause::RepeatLimit, "repeat-limit"},
    {GiveUpCause::TimeOver, "time-over"},
    {GiveUpCause::Overload, "overload"},
    {GiveUpCause::OverQuota, "over-quota"},
    {GiveUpCause::QuotaUnknown, "quota-unknown"},
    {GiveUpCause::Quarantined, "quarantined"},
    {GiveUpCause::UpstreamLimit, "upstream-limit"},
}}};

/** Values that only exist while somebody looks. */
struct GatewayGauges
{
    bool isReady = false;
    std::uint64_t configurationVersion = 0;
    double configurationAgeSeconds = 0;
    double upstreamsAgeSeconds = 0;
    std::size_t upstreams = 0;
    std::size_t callerConnections = 0;
    std::size_t upstreamConnections = 0;
    std::size_t instances = 0;
    bool isDutyHolder = false;
    std::uint64_t logLinesDropped = 0;
    QuotaExchangeStats quotas;
    QuarantineStats quarantine;
    std::size_t suspects = 0;
    LimitStats limits;
    std::size_t limitedUpstreams = 0;
    RelayCounters counters;
};

/**
    Counters and latency histograms in Prometheus' text format.

    Labels are route kinds and outcomes only: routes and customers come and go without bound.
*/
class GatewayMetrics
{
public:
    GatewayMetrics();

    /** A request is over; seconds from its arrival. */
    void requestEnded(RouteKind kind, RequestOutcome outcome, double seconds);
    /** No upstream's answer went out; @c outcome says Refused or Failed. */
    void gaveUp(GiveUpCause cause, RequestOutcome outcome);
    /** A stream's first event, or a plain answer, was ready for the caller. */
    void firstAnswer(RouteKind kind, double seconds);
    /** A prompt was read, by a prefill engine or where it runs. */
    void promptRead(double seconds);
    /** Between two events of one stream, as they were passed on. */
    void paused(double seconds);
    /** From a request's arrival until it was first sent to an upstream. */
    void firstSent(double seconds);
    /** One call of the platform's store or duties is over. */
    void platformCall(const char *what, bool wasAnswered, double seconds);

    std::string page(const GatewayGauges &gauges);

private:
    void setQuotas(const QuotaExchangeStats &quotas);
    void setQuarantine(const GatewayGauges &gauges);
    void setLimits(const GatewayGauges &gauges);
    void set(const std::string &name, const std::string &help, double value);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &gaveUp_;
    prometheus::Family<prometheus::Histogram> &answerSeconds_;
    prometheus::Family<prometheus::Histogram> &firstSeconds_;
    prometheus::Histogram &readSeconds_;
    prometheus::Histogram &pauseSeconds_;
    prometheus::Histogram &sentSeconds_;
    prometheus::Family<prometheus::Histogram> &platformSeconds_;
};

} // namespace cuminrail
