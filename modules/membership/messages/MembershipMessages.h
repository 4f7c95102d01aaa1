#pragma once

#include "membership/facts/UrgentFact.h"
#include "membership/model/Member.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace cuminrail {

/** State of the sender, included in every message. */
struct MessageSender
{
    MemberRecord self;
    SettingsDigest settings;
    /** Hash of the sender's member table. @see MemberTable::hash */
    std::uint64_t tableHash = 0;
    /** Hash of the sender's facts. @see FactStore::hash */
    std::uint64_t factsHash = 0;
};

/** Updates piggybacked on a message. */
struct Gossip
{
    std::vector<MemberRecord> members;
    std::vector<UrgentFact> facts;
};

/** Probes the receiver, which replies with an AckMessage. */
struct PingMessage
{
    MessageSender sender;
    std::uint64_t sequence = 0;
    Gossip gossip;
};

/** The reply to a PingMessage, or to a PingRequestMessage if the target responded. */
struct AckMessage
{
    MessageSender sender;
    /** The sequence of the ping or ping request that this replies to. */
    std::uint64_t sequence = 0;
    /** The member that responded: the sender, or the target of a ping request. */
    InstanceId responder;
    Gossip gossip;
};

/** Asks the receiver to probe a target that does not respond to the sender. */
struct PingRequestMessage
{
    MessageSender sender;
    std::uint64_t sequence = 0;
    InstanceId target;
};

/** One entry of a table summary. */
struct TableSummaryEntry
{
    std::uint64_t idHash = 0;
    std::uint64_t recordHash = 0;
};

/**
    Asks for the records that differ from the sender's table summary. A new instance sends an empty
    summary.
*/
struct SyncRequestMessage
{
    MessageSender sender;
    std::vector<TableSummaryEntry> entries;
    /** False if the sender's facts are the same as the receiver's. */
    bool wantsFacts = true;
};

/** The records that differ from the summary of a SyncRequestMessage. */
struct SyncReplyMessage
{
    MessageSender sender;
    Gossip gossip;
};

/** Facts and updates that are sent immediately instead of being piggybacked. */
struct UrgentMessage
{
    MessageSender sender;
    Gossip gossip;
};

using MembershipMessage = std::variant<PingMessage, AckMessage, PingRequestMessage,
                                       SyncRequestMessage, SyncReplyMessage, UrgentMessage>;

/** Limits for one message. */
struct MembershipLimits
{
    static constexpr std::size_t records = 400;
    static constexpr std::size_t facts = 400;
    static constexpr std::size_t entries = 2000;
    static constexpr std::size_t name = 64;
    static constexpr std::size_t address = 64;
    static constexpr std::size_t subject = 64;
};

} // namespace cuminrail
