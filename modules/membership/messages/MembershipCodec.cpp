#include "membership/messages/MembershipCodec.h"

#include "membership/messages/CborArrayReader.h"
#include "membership/messages/FrameChannel.h"

#include <utility>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

/** The second element of a frame, after the channel. */
enum class MessageCode : std::uint8_t {
    Ping = 1,
    Ack = 2,
    PingRequest = 3,
    SyncRequest = 4,
    SyncReply = 5,
    Urgent = 6,
};

constexpr std::uint64_t kMaxStatus = std::uint64_t(MemberStatus::Dead);
constexpr std::uint64_t kMaxFactKind = std::uint64_t(UrgentFactKind::UpstreamLeaving);

Json toJson(const MemberRecord &record)
{
    return Json::array({record.id.text(), record.incarnation, record.refutation,
                        std::uint64_t(record.status), record.leaving, record.domain.text(),
                        record.region.text(), record.address});
}

MemberRecord readRecord(CborArrayReader &outer, const Json &value)
{
    CborArrayReader array(value);
    MemberRecord record;
    record.id = InstanceId(array.name(MembershipLimits::name));
    record.incarnation = array.number();
    record.refutation = array.number();
    record.status = MemberStatus(array.number(kMaxStatus));
    record.leaving = array.boolean();
    record.domain = FailureDomainId(array.name(MembershipLimits::name, true));
    record.region = RegionId(array.name(MembershipLimits::name, true));
    record.address = array.name(MembershipLimits::address);
    if (!array.isFullyRead())
        outer.fail();
    return record;
}

Json toJson(const UrgentFact &fact)
{
    return Json::array({std::uint64_t(fact.kind), fact.subject, fact.number});
}

UrgentFact readFact(CborArrayReader &outer, const Json &value)
{
    CborArrayReader array(value);
    UrgentFact fact;
    fact.kind = UrgentFactKind(array.number(kMaxFactKind));
    fact.subject = array.name(MembershipLimits::subject);
    fact.number = array.number();
    if (!array.isFullyRead())
        outer.fail();
    return fact;
}

Json toJson(const MessageSender &sender)
{
    return Json::array({toJson(sender.self), sender.settings.headVersion,
                        std::uint64_t(sender.settings.confirmedAge.count()), sender.tableHash,
                        sender.factsHash});
}

MessageSender readSender(CborArrayReader &outer, const Json &value)
{
    CborArrayReader array(value);
    MessageSender sender;
    sender.self = readRecord(array, array.list(8));
    sender.settings.headVersion = array.number();
    sender.settings.confirmedAge =
        Millis(std::int64_t(array.number(std::uint64_t(Millis::never().count()))));
    sender.tableHash = array.number();
    sender.factsHash = array.number();
    if (!array.isFullyRead() || sender.self.status != MemberStatus::Alive)
        outer.fail();
    return sender;
}

template<typename T>
Json toJsonList(const std::vector<T> &elements)
{
    Json list = Json::array();
    for (const T &element : elements)
        list.push_back(toJson(element));
    return list;
}

Json toJson(const Gossip &gossip)
{
    return Json::array({toJsonList(gossip.members), toJsonList(gossip.facts)});
}

Gossip readGossip(CborArrayReader &outer, const Json &value)
{
    CborArrayReader array(value);
    Gossip gossip;
    for (const Json &record : array.list(MembershipLimits::records))
        gossip.members.push_back(readRecord(array, record));
    for (const Json &fact : array.list(MembershipLimits::facts))
        gossip.facts.push_back(readFact(array, fact));
    if (!array.isFullyRead())
        outer.fail();
    return gossip;
}

Json head(MessageCode code, const MessageSender &sender)
{
    return Json::array(
        {std::uint64_t(FrameChannel::Membership), std::uint64_t(code), toJson(sender)});
}

Json toJson(const PingMessage &message)
{
    Json json = head(MessageCode::Ping, message.sender);
    json.push_back(message.sequence);
    json.push_back(toJson(message.gossip));
    return json;
}

Json toJson(const AckMessage &message)
{
    Json json = head(MessageCode::Ack, message.sender);
    json.push_back(message.sequence);
    json.push_back(message.responder.text());
    json.push_back(toJson(message.gossip));
    return json;
}

Json toJson(const PingRequestMessage &message)
{
    Json json = head(MessageCode::PingRequest, message.sender);
    json.push_back(message.sequence);
    json.push_back(message.target.text());
    return json;
}

Json toJson(const SyncRequestMessage &message)
{
    Json json = head(MessageCode::SyncRequest, message.sender);
    Json entries = Json::array();
    for (const TableSummaryEntry &line : message.entries) {
        entries.push_back(line.idHash);
        entries.push_back(line.recordHash);
    }
    json.push_back(std::move(entries));
    json.push_back(message.wantsFacts);
    return json;
}

Json toJson(const SyncReplyMessage &message)
{
    Json json = head(MessageCode::SyncReply, message.sender);
    json.push_back(toJson(message.gossip));
    return json;
}

Json toJson(const UrgentMessage &message)
{
    Json json = head(MessageCode::Urgent, message.sender);
    json.push_back(toJson(message.gossip));
    return json;
}

MembershipMessage readPing(CborArrayReader &array, MessageSender sender)
{
    PingMessage message;
    message.sender = std::move(sender);
    message.sequence = array.number();
    message.gossip = readGossip(array, array.list(2));
    return message;
}

MembershipMessage readAck(CborArrayReader &array, MessageSender sender)
{
    AckMessage message;
    message.sender = std::move(sender);
    message.sequence = array.number();
    message.responder = InstanceId(array.name(MembershipLimits::name));
    message.gossip = readGossip(array, array.list(2));
    return message;
}

MembershipMessage readPingRequest(CborArrayReader &array, MessageSender sender)
{
    PingRequestMessage message;
    message.sender = std::move(sender);
    message.sequence = array.number();
    message.target = InstanceId(array.name(MembershipLimits::name));
    return message;
}

MembershipMessage readSyncRequest(CborArrayReader &array, MessageSender sender)
{
    SyncRequestMessage message;
    message.sender = std::move(sender);
    CborArrayReader entries(array.list(MembershipLimits::entries * 2));
    while (entries.isValid() && !entries.isFullyRead()) {
        TableSummaryEntry line;
        line.idHash = entries.number();
        line.recordHash = entries.number();
        message.entries.push_back(line);
    }
    if (!entries.isFullyRead())
        array.fail();
    message.wantsFacts = array.boolean();
    return message;
}

MembershipMessage readSyncReply(CborArrayReader &array, MessageSender sender)
{
    SyncReplyMessage message;
    message.sender = std::move(sender);
    message.gossip = readGossip(array, array.list(2));
    return message;
}

MembershipMessage readUrgent(CborArrayReader &array, MessageSender sender)
{
    UrgentMessage message;
    message.sender = std::move(sender);
    message.gossip = readGossip(array, array.list(2));
    return message;
}

MembershipMessage readBody(MessageCode code, CborArrayReader &array, MessageSender sender)
{
    switch (code) {
    case MessageCode::Ping:
        return readPing(array, std::move(sender));
    case MessageCode::Ack:
        return readAck(array, std::move(sender));
    case MessageCode::PingRequest:
        return readPingRequest(array, std::move(sender));
    case MessageCode::SyncRequest:
        return readSyncRequest(array, std::move(sender));
    case MessageCode::SyncReply:
        return readSyncReply(array, std::move(sender));
    case MessageCode::Urgent:
        return readUrgent(array, std::move(sender));
    }
    array.fail();
    return PingMessage();
}

} // namespace

std::string encodeMembership(const MembershipMessage &message)
{
    return encodeCbor(std::visit([](const auto &typed) { return toJson(typed); }, message));
}

std::optional<MembershipMessage> decodeMembership(const std::string &frame)
{
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader array(*value);
    const std::uint64_t channel = array.number();
    const auto code = MessageCode(array.number(std::uint64_t(MessageCode::Urgent)));
    MessageSender sender = readSender(array, array.list(5));
    MembershipMessage message = readBody(code, array, std::move(sender));
    if (channel != std::uint64_t(FrameChannel::Membership) || !array.isFullyRead())
        return std::nullopt;
    return message;
}

} // namespace cuminrail
