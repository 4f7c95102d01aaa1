#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/names/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** State of the run that a claim stands for. */
enum class ClaimState : std::uint8_t {
    /** An instance is about to send the request, is sending it, or died while doing so. */
    Claimed,
    /** It certainly did not run; the next duplicate may take over the claim. */
    NotRun,
    /** The outcome will never be known; the request is not sent again. */
    MayHaveRun,
    /** It ran; the response is stored, or was too large to be. */
    Done,
};

inline constexpr NameTable<ClaimState, 4> claimStateNames{{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::NotRun, "not-run"},
    {ClaimState::MayHaveRun, "may-have-run"},
    {ClaimState::Done, "done"},
}}};

/** The response stored for duplicates of the call. */
struct StoredResponse
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /**
        False when the body exceeded the limit; duplicates learn that the call ran, but not the
        response.
    */
    bool complete = true;
};

/** Responses with larger bodies are not stored: the store accepts values of a megabyte at most. */
inline constexpr std::size_t maxStoredBodyBytes = 256 * 1024;

/**
    The object "claims/<customer>/<hash of the Idempotency-Key>".

    @see ClaimManager
*/
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    /** Unique for each claim, so that its writer recognises its own write when it reads back. */
    std::string token;
    InstanceId instance;
    Incarnation incarnation = 0;
    /** Lower-case hexadecimal SHA-256 of method, path and body. */
    std::string requestSha256;
    StoredResponse response;

    /** Returns the text to store. Bodies that are not UTF-8 are preserved byte for byte. */
    std::string toText() const;

    /** Parses a stored text. Returns nothing, with a reason, if it is not a valid claim. */
    static std::optional<ClaimRecord> fromText(const std::string &text, Reason *lastReason);
};

} // namespace cuminrail
