#pragma once

#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace cuminrail {

/** "Which settings head is in force with you?" */
struct HeadRequestMessage
{
    PeerAddress from;
};

/** The generation in force at the sender, and the hash under which its text can be asked for. */
struct HeadReplyMessage
{
    PeerAddress from;
    std::uint64_t generation = 0;
    std::string sha256;
};

/** "Send a piece of this content." */
struct ContentRequestMessage
{
    PeerAddress from;
    std::string sha256;
    std::uint64_t offset = 0;
};

/** A piece of a content; a total of 0 says that the sender does not have it. */
struct ContentChunkMessage
{
    std::string sha256;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::string bytes;
};

using ConfigMessage =
    std::variant<HeadRequestMessage, HeadReplyMessage, ContentRequestMessage, ContentChunkMessage>;

/** Bounds on what one message holds. */
struct ConfigMessageLimits
{
    static constexpr std::size_t address = 64;
    static constexpr std::size_t chunkBytes = 32 * 1024;
    static constexpr std::size_t contentBytes = 1024 * 1024;
};

} // namespace cuminrail
