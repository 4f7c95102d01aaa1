#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace cuminrail::pathbench {

struct AtMostOnceOptions
{
    std::uint32_t requests = 10000;
    std::uint64_t seed = 1;
    /** Callers at once. */
    std::uint32_t callers = 24;
    /**
        Every call has an Idempotency-Key, and its caller repeats it, at two instances in turns,
        until it hears of success. The platform's answers about claims get lost too.
    */
    bool isKeyed = false;
};

/** What callers were told, held against what the services recorded. */
struct AtMostOnceResult
{
    std::uint32_t requests = 0;
    std::uint32_t toldRan = 0;
    std::uint32_t toldNotRun = 0;
    std::uint32_t toldMayHaveRun = 0;
    /** Got no whole answer with a verdict; of these none may be. */
    std::uint32_t untold = 0;
    /** Requests that ran, and those that ran more than once; of the latter none may be. */
    std::uint32_t ran = 0;
    std::uint32_t ranTwice = 0;
    /** "Not run" was said of one that ran; none may be. */
    std::uint32_t falseNotRun = 0;
    /** A success was given for one that did not run; none may be. */
    std::uint32_t falseRan = 0;
    /** Repeats by callers, and answers that were the stored ones. */
    std::uint32_t repeats = 0;
    std::uint32_t replays = 0;
    /** Requests whose connection a service broke, stalled or delayed. */
    std::uint32_t disturbed = 0;
    /** How many answers had which error code. */
    std::map<std::string, std::uint32_t> codes;
    double seconds = 0;

    bool isGood() const
    {
        return untold == 0 && ranTwice == 0 && falseNotRun == 0 && falseRan == 0;
    }
    nlohmann::json toJson() const;
};

/**
    Sends calls that may not be repeated through an instance to services that break connections
    before, during and after each send, stall, reset and answer late. Judged by the services'
    own records.
*/
AtMostOnceResult runAtMostOnce(const AtMostOnceOptions &options);

} // namespace cuminrail::pathbench
