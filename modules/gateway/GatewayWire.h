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

/** Under which authority the platform is told something. */
struct DutyAuthority
{
    /** The instance's name. */
    std::string holder;
    std::uint64_t fence = 0;
    /** The end of the lease; a call's connection does not outlive it. */
    Millis notAfter;
};

/** How many upstreams of a service there should be in a failure domain. */
struct ScaleTarget
{
    std::string service;
    std::string failureDomain;
    std::uint32_t wanted = 0;
    bool isReclaimable = false;
};

/** How a call under authority ended. */
enum class DutyResult : std::uint8_t {
    Accepted,
    /** It had no effect, and will have none. */
    Refused,
    /** It may have had an effect. */
    Unknown,
};

inline constexpr NameTable<DutyResult, 3> dutyResultNames{{{
    {DutyResult::Accepted, "accepted"},
    {DutyResult::Refused, "refused"},
    {DutyResult::Unknown, "unknown"},
}}};

/** What an engine says of itself, as far as orders need it. */
struct EngineReportBrief
{
    EngineStage stage = EngineStage::Whole;
    /** An order is being carried out. */
    bool isBusy = false;
    /** How many orders it has accepted since its start. */
    std::uint64_t ordersAccepted = 0;
};

using DutyCompletion = std::function<void(DutyResult, const Reason &)>;

/** The messages of the outside world, as functions between them and the product's types. */
struct GatewayWire
{
    /** The header that carries a request's identity both ways. */
    std::string identityHeader;
    /** Where upstreams and the configuration lie in the store. */
    std::string upstreamsPath;
    std::string configurationPath;

    std::function<std::optional<InboundRequest>(const HttpHead &, Reason *)> decodeRequest;
    std::function<std::string(const HttpHead &, std::string_view body, const InboundRequest &,
                              const OutboundFields &)>
        encodeRequest;
    std::function<AnswerTraits(const HttpHead &)> decodeAnswer;
    std::function<std::vector<HttpHeader>(const HttpHead &)> callerHeaders;
    std::function<HttpAnswer(int status, const std::string &requestId,
                             std::optional<Millis> retryAfter, const std::string &why)>
        ownAnswer;
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
    std::function<void(const UpstreamEntry &,
                       std::function<void(const std::optional<EngineReportBrief> &)>)>
        readEngine;
    /** Has effect only while the engine has accepted exactly so many orders. */
    std::function<void(const UpstreamEntry &, EngineStage to, std::uint64_t ordersAccepted,
                       const DutyAuthority &, DutyCompletion)>
        orderStage;
};

} // namespace cuminrail
