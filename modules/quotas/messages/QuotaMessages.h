#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cuminrail {

/** "May this customer use so much?" */
struct QuotaQuestion
{
    /** The asker's number, repeated in the answer. */
    std::uint64_t number = 0;
    std::string customer;
    /** In the quota's unit. */
    std::uint64_t cost = 0;
};

struct QuotaAnswer
{
    std::uint64_t number = 0;
    bool isGranted = false;
    /** Milliseconds after which to come back; 0 where that is no use. */
    std::uint64_t comeBackMillis = 0;
    /** What the customer's bucket holds, for the asker's log; 0 while it is in debt. */
    std::uint64_t level = 0;
};

/** "This customer used so much without my asking", or did not use what was granted. */
struct QuotaCharge
{
    std::string customer;
    std::uint64_t cost = 0;
    bool isGivenBack = false;
};

using QuotaMessage = std::variant<QuotaQuestion, QuotaAnswer, QuotaCharge>;

/** Bounds on what a message may hold. */
struct QuotaMessageLimits
{
    static constexpr std::size_t customerBytes = 256;
    static constexpr std::uint64_t cost = 1'000'000'000;
    static constexpr std::uint64_t millis = 3'600'000;
};

/** Encodes a message as a frame for another instance. */
std::string encodeQuotaMessage(const QuotaMessage &message);
/** Returns nothing for what is no message of a known format, whole and within bounds. */
std::optional<QuotaMessage> decodeQuotaMessage(const std::string &frame);

} // namespace cuminrail
