#pragma once

#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace cuminrail {

/** Requests the settings head that is in force at the receiver. */
struct HeadRequestMessage
{
    PeerAddress from;
};

/**
    The generation in force at the sender, and the hash with which its head's text can be requested.
*/
struct HeadReplyMessage
{
    PeerAddress from;
    std::uint64_t generation = 0;
    std::string sha256;
};

/** Requests a chunk of a content. */
struct ContentRequestMessage
{
    PeerAddress from;
    std::string sha256;
    std::uint64_t offset = 0;
};

/** A chunk of a content; a total of 0 means that the sender does not have it. */
struct ContentChunkMessage
{
    std::string sha256;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::string bytes;
};

using ConfigMessage =
    std::variant<HeadRequestMessage, HeadReplyMessage, ContentRequestMessage, ContentChunkMessage>;

/** Limits for one message. */
struct ConfigMessageLimits
{
    static constexpr std::size_t address = 64;
    static constexpr std::size_t chunkBytes = 32 * 1024;
    static constexpr std::size_t contentBytes = 1024 * 1024;
};

} // namespace cuminrail
