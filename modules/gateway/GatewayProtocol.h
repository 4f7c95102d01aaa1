#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"
#include "dataplane/dataplane.h"
#include "dataplane/model/InstanceSettings.h"
#include "net/http/HttpHead.h"
#include "net/server/HttpExchange.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** The lease under which a duty's call to the platform is made. */
struct DutyAuthority
{
    /** The name of the instance that holds the lease. */
    std::string holder;
    std::uint64_t fence = 0;
    /** The end of the lease; the call's connection is closed by then. */
    Millis notAfter;
    /** Since when the instance has held the lease without a break. */
    Millis heldSince{};
    /** Holders since the record before may be unknown, as the store came back from a copy. */
    bool followsEarlierEra = false;
};

/** The wanted number of upstreams of a service in a failure domain. */
struct ScaleTarget
{
    std::string service;
    std::string failureDomain;
    std::uint32_t wanted = 0;
    bool isReclaimable = false;
};

/** Result of a call made under a lease. */
enum class DutyResult : std::uint8_t {
    Accepted,
    /** The call had no effect and will have none. */
    Refused,
    /** The call may have had, or may still have, an effect. */
    Unknown,
};

inline constexpr NameTable<DutyResult, 3> dutyResultNames{{{
    {DutyResult::Accepted, "accepted"},
    {DutyResult::Refused, "refused"},
    {DutyResult::Unknown, "unknown"},
}}};

/** The part of an engine's state report that orders depend on. */
struct EngineReportSummary
{
    EngineStage stage = EngineStage::Whole;
    /** The engine is executing an order. */
    bool isBusy = false;
    /** Number of orders that the engine has accepted since its start. */
    std::uint64_t ordersAccepted = 0;
};

/** An engine's reply to a query of its state. */
struct EngineReply
{
    /** Nothing if the engine gave no report. */
    std::optional<EngineReportSummary> report;
    ResponseTraits traits;
};

using DutyCompletion = std::function<void(DutyResult, const Reason &)>;
using EngineOrderCompletion =
    std::function<void(DutyResult, const Reason &, const ResponseTraits &)>;

/** Hooks that encode, decode and send the messages of the outside protocols. */
struct GatewayProtocol
{
    /** The header that carries the request's identity in requests and responses. */
    std::string identityHeader;
    /** Paths of the upstreams and of the configuration in the store. */
    std::string upstreamsPath;
    std::string configurationPath;

    std::function<std::optional<InboundRequest>(const HttpHead &, Reason *)> decodeRequest;
    std::function<std::string(const HttpHead &, std::string_view body, const InboundRequest &,
                              const OutboundFields &)>
        encodeRequest;
    std::function<ResponseTraits(const HttpHead &)> decodeResponse;
    /** Whether callers read the status as the promise that their request has not run. */
    std::function<bool(int status)> promisesNotRun;
    std::function<std::vector<HttpHeader>(const HttpHead &)> callerHeaders;
    /** Builds a response that the gateway itself generates. */
    std::function<HttpResponse(int status, const std::string &requestId,
                               std::optional<Millis> retryAfter, const std::string &why)>
        localResponse;
    std::function<std::optional<CacheHandle>(const std::string &body, Reason *)> decodeCacheHandle;
    std::function<std::string(const std::string &handle, const UpstreamEntry &)>
        encodeHandleRelease;
    std::function<std::optional<Configuration>(const std::string &, Reason *)> decodeConfiguration;
    std::function<std::optional<UpstreamEntry>(const std::string &id, const std::string &,
                                               Reason *)>
        decodeUpstream;
    std::function<void(std::int64_t window, const CustomerCounts &, const DutyAuthority &,
                       DutyCompletion)>
        reportUsage;
    std::function<void(const ScaleTarget &, const DutyAuthority &, DutyCompletion)> orderUpstreams;
    std::function<void(const UpstreamEntry &, std::function<void(const EngineReply &)>)>
        fetchEngineReport;
    /** Takes effect only if the engine has accepted exactly @c ordersAccepted orders so far. */
    std::function<void(const UpstreamEntry &, EngineStage to, std::uint64_t ordersAccepted,
                       const DutyAuthority &, EngineOrderCompletion)>
        orderStage;
};

} // namespace cuminrail
