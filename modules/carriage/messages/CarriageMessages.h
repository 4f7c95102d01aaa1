#pragma once

#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** Identifies a carried request among those of one instance. */
using CarriedCallId = std::uint64_t;

/** Asks an instance whether it can carry requests. */
struct CarrierQuery
{ };

/** Whether an instance can carry requests, in reply to a query. */
struct CarrierStatus
{
    bool canCarry = false;
};

/** A header line of a carried request or response. */
struct CarriedField
{
    std::string name;
    std::string value;
};

/** A request that is handed over; its body follows in chunks. */
struct CarriedOpen
{
    CarriedCallId call = 0;
    /** Empty on routes that need no key. The caller's key is never handed over. */
    std::string customer;
    std::string method;
    std::string target;
    std::vector<CarriedField> fields;
    std::uint64_t bodyBytes = 0;
    Millis timeLeft;
    /** Attempts that may still be made. */
    std::uint32_t attempts = 1;
    /** The request's first send was counted for the limit on repeats. */
    bool isFirstSendCounted = false;
    /** An upstream may have run the request before, so that this send is a repeat. */
    bool isRepeat = false;
    /** A run of the request was counted for usage. */
    bool isRunCounted = false;
    /** Number of the last event of a stream that the caller has. */
    std::optional<std::uint64_t> resumeAfter;
};

/** A part of a body, in the direction of its kind. */
struct CarriedChunk
{
    CarriedCallId call = 0;
    bool isResponse = false;
    /** Number of bytes before this part; a gap means that a message was lost. */
    std::uint64_t offset = 0;
    std::string data;
};

/** The receiver of a body has taken so many bytes; more may be sent. */
struct CarriedCredit
{
    CarriedCallId call = 0;
    bool isResponse = false;
    /** Number of bytes taken since the start of the body. */
    std::uint64_t taken = 0;
};

/** The head of a response. */
struct CarriedHead
{
    CarriedCallId call = 0;
    std::uint16_t status = 0;
    bool isStream = false;
    std::vector<CarriedField> fields;
};

/** How a carried request ended. */
enum class CarriedResult : std::uint8_t {
    /** The response is complete. */
    Complete,
    /** The carrier cannot run the request, and has not; another one may. */
    Declined,
    /** No upstream ran the request, and none will. */
    NotRun,
    /** No response; an upstream may have run the request. */
    MayHaveRun,
    /** The same, and the time of the request is over. */
    Overdue,
    /** A stream broke off after its head. */
    Truncated,
    /** Nothing more is heard of the carrier; never sent in a message. */
    Lost,
};

inline constexpr NameTable<CarriedResult, 7> carriedResultNames{{{
    {CarriedResult::Complete, "complete"},
    {CarriedResult::Declined, "declined"},
    {CarriedResult::NotRun, "not-run"},
    {CarriedResult::MayHaveRun, "may-have-run"},
    {CarriedResult::Overdue, "overdue"},
    {CarriedResult::Truncated, "truncated"},
    {CarriedResult::Lost, "lost"},
}}};

struct CarriedEnd
{
    CarriedCallId call = 0;
    CarriedResult result = CarriedResult::Lost;
    /** Number of bytes of the response's body. */
    std::uint64_t bytes = 0;
    /** Attempts in which an upstream may have run the request. */
    std::uint32_t sends = 0;
    /** When the caller may come back; only for requests that were not run. */
    std::optional<Millis> retryAfter;
    std::string reason;
};

/** The caller left or its time is over: the request is abandoned. */
struct CarriedCancel
{
    CarriedCallId call = 0;
};

using CarriageMessage = std::variant<CarrierQuery, CarrierStatus, CarriedOpen, CarriedChunk,
                                     CarriedCredit, CarriedHead, CarriedEnd, CarriedCancel>;

/** Upper bounds of message fields, in bytes unless stated otherwise. */
struct CarriageLimits
{
    static constexpr std::size_t chunk = 16 * 1024;
    /** Bytes of a body that are sent before some are taken. */
    static constexpr std::size_t window = 64 * 1024;
    static constexpr std::size_t text = 32 * 1024;
    /** Number of header lines. */
    static constexpr std::size_t fields = 512;
    static constexpr std::uint64_t body = std::uint64_t{1} << 31U;
    static constexpr std::uint64_t millis = 3'600'000;
};

std::string encodeCarriage(const CarriageMessage &message);
/** Returns nothing unless the frame is a complete message within bounds. */
std::optional<CarriageMessage> decodeCarriage(const std::string &frame);

} // namespace cuminrail
