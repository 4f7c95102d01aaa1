#pragma once

#include "core/names/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cuminrail {

/** Where bytes showed up that are not the response to the request of their connection. */
enum class StrayPlace : std::uint8_t {
    /** While no request was in progress. */
    Idle,
    /** After the end of a response. */
    AfterResponse,
    /** A head with another identity where a response was expected. */
    OtherIdentity,
    /** A head without an identity, on a connection that has carried other requests. */
    NoIdentity,
    /** A head inside the body of a response. */
    InsideBody,
};

inline constexpr NameTable<StrayPlace, 5> strayPlaceNames{{{
    {StrayPlace::Idle, "idle"},
    {StrayPlace::AfterResponse, "after-response"},
    {StrayPlace::OtherIdentity, "other-identity"},
    {StrayPlace::NoIdentity, "no-identity"},
    {StrayPlace::InsideBody, "inside-body"},
}}};

/** Bytes of an upstream that are not, or may not be, the response to a connection's request. */
struct StrayResponse
{
    StrayPlace place = StrayPlace::Idle;
    std::string address;
    /** Identity of the request in progress, or of the last one. */
    std::string expected;
    /** Identity that the bytes state; empty if none was read. */
    std::string found;
    /** Status that they state; 0 if none was read. */
    int status = 0;
    /** Number of requests that the connection has carried, the one in progress included. */
    std::size_t requests = 0;
    /** How many bytes were at hand. */
    std::size_t bytes = 0;
};

} // namespace cuminrail
