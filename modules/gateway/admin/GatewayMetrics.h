#pragma once

#include "dataplane/model/Configuration.h"
#include "dataplane/path/UpstreamPath.h"
#include "gateway/peers/LinkTraffic.h"
#include "gateway/request/RelayCounters.h"
#include "keyedrecords/keyedrecords.h"
#include "net/upstream/StrayResponse.h"
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

/** How a request ended from its caller's view. */
enum class RequestOutcome : std::uint8_t {
    Served,
    /** An upstream responded with an error of its own. */
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

/** Why a request got no response of an upstream; the log line's reason has the details. */
enum class GiveUpCause : std::uint8_t {
    NoConfiguration,
    Malformed,
    NoRoute,
    UnknownKey,
    NoUpstream,
    /** Upstreams stated that they are full. */
    Full,
    Unreachable,
    /** An upstream received the request and broke off, fell silent or sent an invalid response. */
    Broken,
    RetryLimit,
    DeadlineExceeded,
    /** The caller would time out before any engine could start the request. */
    Overload,
    /** The customer's quota is used up. */
    OverQuota,
    /** No owner of the customer's quota replied, so its use is not known. */
    QuotaUnknown,
    /** Upstream processes ended while running requests with the same content. */
    Quarantined,
    /** The same, and whether the content is the cause is being tried with another request. */
    Held,
    /** Upstreams that state a limit accept no more requests at the moment. */
    UpstreamLimit,
    /** Upstreams asked for a pause. */
    UpstreamPause,
    /** The instance that carried the request refused it. */
    Refused,
    /** No upstream of the software version that began the stream is left. */
    StreamGone,
    /** No instance knows at which software version the stream began. */
    StreamUnknown,
    /** No instance that may know it replied. */
    StreamUnreachable,
    /** This instance stops before the request can end. */
    Stopping,
};

inline constexpr NameTable<GiveUpCause, 22> giveUpCauseNames{{{
    {GiveUpCause::NoConfiguration, "no-configuration"},
    {GiveUpCause::Malformed, "malformed"},
    {GiveUpCause::NoRoute, "no-route"},
    {GiveUpCause::UnknownKey, "unknown-key"},
    {GiveUpCause::NoUpstream, "no-upstream"},
    {GiveUpCause::Full, "full"},
    {GiveUpCause::Unreachable, "unreachable"},
    {GiveUpCause::Broken, "broken"},
    {GiveUpCause::RetryLimit, "repeat-limit"},
    {GiveUpCause::DeadlineExceeded, "time-over"},
    {GiveUpCause::Overload, "overload"},
    {GiveUpCause::OverQuota, "over-quota"},
    {GiveUpCause::QuotaUnknown, "quota-unknown"},
    {GiveUpCause::Quarantined, "quarantined"},
    {GiveUpCause::Held, "held"},
    {GiveUpCause::UpstreamLimit, "upstream-limit"},
    {GiveUpCause::UpstreamPause, "upstream-pause"},
    {GiveUpCause::Refused, "refused-by-carrier"},
    {GiveUpCause::StreamGone, "stream-version-gone"},
    {GiveUpCause::StreamUnknown, "stream-unknown"},
    {GiveUpCause::StreamUnreachable, "stream-unreachable"},
    {GiveUpCause::Stopping, "stopping"},
}}};

/** Current values, computed when the metrics or the state are requested. */
struct GatewayGauges
{
    bool isReady = false;
    std::uint64_t configurationVersion = 0;
    double configurationAgeSeconds = 0;
    double upstreamsAgeSeconds = 0;
    std::size_t upstreams = 0;
    /** Entries of the list that name no upstream to use. */
    std::size_t refusedUpstreams = 0;
    std::size_t callerConnections = 0;
    std::size_t upstreamConnections = 0;
    std::size_t instances = 0;
    PathState pathState = PathState::Sound;
    bool isDutyHolder = false;
    StoreEra storeEra = 0;
    std::uint64_t logLinesDropped = 0;
    QuotaExchangeStats quotas;
    QuarantineStats quarantine;
    std::size_t suspects = 0;
    /** Callers' connections that were closed unread. */
    std::uint64_t closedUnread = 0;
    /** Callers' connections that made room for others while their callers were waited for. */
    std::uint64_t evicted = 0;
    /** Memory that callers hold. */
    std::uint64_t heldBytes = 0;
    /** Calls for callers' responses that were out of order. */
    std::uint64_t responsesOutOfOrder = 0;
    LimitStats limits;
    std::size_t limitedUpstreams = 0;
    std::size_t leavingUpstreams = 0;
    std::size_t pausingUpstreams = 0;
    RelayCounters counters;
    LinkTraffic linkTraffic;
    RecordStats streamRecords;
    std::size_t streamRecordCount = 0;
    std::uint64_t streamRecordsDropped = 0;
};

/**
    Counters and latency histograms in Prometheus' text format.

    Labels are route kinds and outcomes only: the number of routes and customers is not bounded.
*/
class GatewayMetrics
{
public:
    GatewayMetrics();

    /** A request ended, this long after its arrival. */
    void requestEnded(RouteKind kind, RequestOutcome outcome, double seconds);
    /** A request got no response of an upstream; @c outcome is Refused or Failed. */
    void requestGivenUp(GiveUpCause cause, RequestOutcome outcome);
    /** A stream's first event, or a plain response, was ready for the caller. */
    void firstResponse(RouteKind kind, double seconds);
    /** A prefill ended, on a prefill engine or on the engine that decodes. */
    void prefillDone(double seconds);
    /** Time between two relayed events of a stream. */
    void streamPaused(double seconds);
    /** Time from a request's arrival until it was first sent to an upstream. */
    void firstSent(double seconds);
    /** A call to the platform's store or duties ended. */
    void platformCall(const char *what, bool wasAnswered, double seconds);

    /** An upstream or the platform sent bytes that are not their request's response. */
    void strayResponse(StrayPlace place);

    std::string page(const GatewayGauges &gauges);

private:
    void setQuotas(const QuotaExchangeStats &quotas);
    void setQuarantine(const GatewayGauges &gauges);
    void setLoad(const GatewayGauges &gauges);
    void setLimits(const GatewayGauges &gauges);
    void setStreams(const GatewayGauges &gauges);
    void setLinkTraffic(const LinkTraffic &traffic);
    void setGauge(const std::string &name, const std::string &help, double value);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &givenUp_;
    prometheus::Family<prometheus::Counter> &strayResponses_;
    prometheus::Family<prometheus::Histogram> &requestSeconds_;
    prometheus::Family<prometheus::Histogram> &firstResponseSeconds_;
    prometheus::Histogram &prefillSeconds_;
    prometheus::Histogram &pauseSeconds_;
    prometheus::Histogram &sentSeconds_;
    prometheus::Family<prometheus::Histogram> &platformSeconds_;
};

} // namespace cuminrail
