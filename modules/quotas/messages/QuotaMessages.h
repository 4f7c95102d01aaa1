#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cuminrail {

/** Asks the owner for a grant from a customer's quota. */
struct QuotaQuery
{
    /** Number assigned by the sender of the query, repeated in the reply. */
    std::uint64_t number = 0;
    std::string customer;
    /** In the quota's unit. */
    std::uint64_t cost = 0;
};

struct QuotaReply
{
    std::uint64_t number = 0;
    bool isGranted = false;
    /** Milliseconds after which to retry; 0 where a retry is of no use. */
    std::uint64_t retryAfterMillis = 0;
    /** Level of the customer's bucket, for the querying instance's log; 0 while it is in debt. */
    std::uint64_t level = 0;
};

/** Announces a customer's use that was granted without a query, or returns an unused grant. */
struct QuotaCharge
{
    std::string customer;
    std::uint64_t cost = 0;
    bool isGivenBack = false;
};

using QuotaMessage = std::variant<QuotaQuery, QuotaReply, QuotaCharge>;

/** Upper bounds of message fields. */
struct QuotaMessageLimits
{
    static constexpr std::size_t customerBytes = 256;
    static constexpr std::uint64_t cost = 1'000'000'000;
    static constexpr std::uint64_t millis = 3'600'000;
};

/** Encodes a message as a frame for another instance. */
std::string encodeQuotaMessage(const QuotaMessage &message);
/** Returns nothing unless the frame is a complete message of a known format within bounds. */
std::optional<QuotaMessage> decodeQuotaMessage(const std::string &frame);

} // namespace cuminrail
