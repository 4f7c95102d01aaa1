#pragma once

#include "membership/facts/UrgentFact.h"
#include "membership/model/Member.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace cuminrail {

/** What every message says of its sender. */
struct MessageSender
{
    MemberRecord self;
    SettingsDigest settings;
    /** Hash of the sender's table of members. @see MemberTable::hash */
    std::uint64_t tableHash = 0;
    /** Hash of the sender's facts. @see FactStore::hash */
    std::uint64_t factsHash = 0;
};

/** News that rides along with another message. */
struct Gossip
{
    std::vector<MemberRecord> members;
    std::vector<UrgentFact> facts;
};

/** "Do you answer?" */
struct PingMessage
{
    MessageSender sender;
    std::uint64_t sequence = 0;
    Gossip gossip;
};

/** The answer to a ping, or to a PingRequest when its target answered. */
struct AckMessage
{
    MessageSender sender;
    /** The sequence of the ping or request that is answered. */
    std::uint64_t sequence = 0;
    /** The member that answered: the sender, or the target of a PingRequest. */
    InstanceId answering;
    Gossip gossip;
};

/** "I get no answer from the target; do you?" */
struct PingRequestMessage
{
    MessageSender sender;
    std::uint64_t sequence = 0;
    InstanceId target;
};

/** One line of a table summary. */
struct TableLine
{
    std::uint64_t idHash = 0;
    std::uint64_t recordHash = 0;
};

/** "This is what I know; tell me what differs." A newcomer's summary is empty. */
struct SyncRequestMessage
{
    MessageSender sender;
    std::vector<TableLine> lines;
    /** False when the sender's facts are the same as the receiver's. */
    bool wantsFacts = true;
};

/** What differs from the summary of a SyncRequest. */
struct SyncReplyMessage
{
    MessageSender sender;
    Gossip gossip;
};

/** Facts and news that go on at once instead of riding along. */
struct UrgentMessage
{
    MessageSender sender;
    Gossip gossip;
};

using MembershipMessage = std::variant<PingMessage, AckMessage, PingRequestMessage,
                                       SyncRequestMessage, SyncReplyMessage, UrgentMessage>;

/** Bounds on what one message holds. */
struct MembershipLimits
{
    static constexpr std::size_t records = 400;
    static constexpr std::size_t facts = 400;
    static constexpr std::size_t lines = 2000;
    static constexpr std::size_t name = 64;
    static constexpr std::size_t address = 64;
    static constexpr std::size_t subject = 64;
};

} // namespace cuminrail
