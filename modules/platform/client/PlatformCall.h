#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "net/http/HttpHead.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** What a call asks; calls are counted by it, since the platform counts and limits them. */
enum class PlatformCallKind : std::uint8_t {
    Get,
    Put,
    Remove,
    List,
    Watch,
    Instances,
    Fleet,
    Usage,
    Ticket,
    EngineState,
    EngineOrder,
};

inline constexpr std::size_t platformCallKindCount = 11;

inline constexpr NameTable<PlatformCallKind, platformCallKindCount> platformCallKindNames{{{
    {PlatformCallKind::Get, "get"},
    {PlatformCallKind::Put, "put"},
    {PlatformCallKind::Remove, "remove"},
    {PlatformCallKind::List, "list"},
    {PlatformCallKind::Watch, "watch"},
    {PlatformCallKind::Instances, "instances"},
    {PlatformCallKind::Fleet, "fleet"},
    {PlatformCallKind::Usage, "usage"},
    {PlatformCallKind::Ticket, "ticket"},
    {PlatformCallKind::EngineState, "engine-state"},
    {PlatformCallKind::EngineOrder, "engine-order"},
}}};

/** One HTTP call to the platform or to an engine's control interface. */
struct PlatformCall
{
    PlatformCallKind kind = PlatformCallKind::Get;
    std::string address;
    std::string method = "GET";
    /** Path and query, percent-encoded. */
    std::string target;
    std::string body;
    /** Besides those that every call has. */
    std::vector<HttpHeader> headers;
    /** The version for If-Match. */
    std::optional<std::uint64_t> condition;
    /** How long the answer's first byte may take, beyond the client's own patience. */
    Millis extraWait;
    /**
        The end of the authority that the call is made under. Set, the call has a connection of its
        own, which does not outlive this instant.
    */
    std::optional<Millis> notAfter;
};

/** How a call ended. */
struct PlatformAnswer
{
    /** 0 when there is no whole answer. */
    int status = 0;
    std::string body;
    std::vector<HttpHeader> headers;
    /** Whether the call may have taken effect; says Ran for every whole answer. */
    Verdict verdict = Verdict::NotRun;
    Reason lastReason;

    bool isWhole() const { return status != 0; }
    bool isSuccess() const { return status >= 200 && status < 300; }
};

using PlatformCompletion = std::function<void(const PlatformAnswer &)>;

/** Returns a text with everything but letters, digits and "-._~/" percent-encoded. */
std::string percentEncoded(const std::string &text);

} // namespace cuminrail
