#include "keyedrecords/exchange/RecordExchange.h"

#include "core/guards/Guards.h"
#include "keepers/numbers/QueryNumbers.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

/** Owners to which a record can be sent, in multiples of its copies: those that miss replies are
    replaced by the next ones. */
constexpr std::size_t candidateFactor = 3;
/** Records of a planned stop or a first publication of many may take longer. */
constexpr Millis bulkTimeout = Millis(1000);

} // namespace

RecordExchange::RecordExchange(PeerTransport transport, Clock clock, std::size_t copies)
    : transport_(std::move(transport)), clock_(std::move(clock)), copies_(copies),
      nextNumber_(firstQueryNumber(clock_))
{ }

void RecordExchange::setPeers(std::vector<OwnerCandidate> peers)
{
    arePeersKnown_ = true;
    owners_.setPeers(std::move(peers));
}

RecordTable::Record RecordExchange::recordOf(RecordValue value, Millis age, bool isUnsent) const
{
    const Millis writtenAt = clock_.now() - age;
    return {value, writtenAt, writtenAt + lifetime_, isUnsent};
}

std::vector<PeerAddress> RecordExchange::otherOwners(RecordKey key, std::size_t count) const
{
    std::vector<PeerAddress> owners = owners_.spreadOwnersOf(key, count + 1);
    owners.erase(std::remove(owners.begin(), owners.end(), PeerAddress()), owners.end());
    owners.resize(std::min(owners.size(), count));
    return owners;
}

void RecordExchange::remember(RecordKey key, RecordValue value)
{
    table_.add(key, recordOf(value, Millis(0), true));
}

void RecordExchange::publish(RecordKey key, RecordValue value, Kept done)
{
    table_.add(key, recordOf(value, Millis(0), false));
    startPublication(key, value, clock_.now(), publishTimeout, std::move(done));
}

void RecordExchange::publishUnsent()
{
    const Millis now = clock_.now();
    for (const RecordKey key : table_.takeUnsent(now)) {
        const RecordTable::Record *record = table_.find(key, now);
        if (record->value != 0)
            startPublication(key, record->value, record->writtenAt, bulkTimeout, nullptr);
    }
}

void RecordExchange::handOver()
{
    if (!guardEnabled(Guard::RecordHandedOver))
        return;
    const Millis now = clock_.now();
    for (const RecordKey key : table_.keys(now)) {
        const RecordTable::Record *record = table_.find(key, now);
        if (record->value != 0)
            startPublication(key, record->value, record->writtenAt, bulkTimeout, nullptr);
    }
}

void RecordExchange::startPublication(RecordKey key, RecordValue value, Millis writtenAt,
                                      Millis timeout, Kept done)
{
    ++stats_.published;
    const std::uint64_t number = nextNumber_++;
    Publication &publication = publications_[number];
    publication.key = key;
    publication.value = value;
    publication.writtenAt = writtenAt;
    publication.done = std::move(done);
    publication.deadline = clock_.now() + timeout;
    std::size_t sent = 0;
    while (sent < copies_ && sendToNext(number))
        ++sent;
    publication.wanted = std::min(wantedReceipts, sent);
    if (sent == 0)
        endPublication(number, false);
}

bool RecordExchange::sendToNext(std::uint64_t number)
{
    Publication &publication = publications_.at(number);
    const Millis now = clock_.now();
    for (const PeerAddress &owner : otherOwners(publication.key, copies_ * candidateFactor)) {
        const auto &tried = publication.tried;
        if (owners_.isExcluded(owner, now)
            || std::find(tried.begin(), tried.end(), owner) != tried.end())
            continue;
        publication.tried.push_back(owner);
        outboxes_[owner].waiting.push_back(number);
        flush(owner);
        return true;
    }
    return false;
}

void RecordExchange::flush(const PeerAddress &owner)
{
    Outbox &outbox = outboxes_[owner];
    if (!outbox.inFlight.empty())
        return;
    RecordDelivery delivery;
    while (!outbox.waiting.empty() && delivery.records.size() < RecordMessageLimits::records) {
        const std::uint64_t number = outbox.waiting.front();
        outbox.waiting.pop_front();
        const auto found = publications_.find(number);
        if (found == publications_.end())
            continue;
        const Publication &each = found->second;
        outbox.inFlight.push_back(number);
        delivery.records.push_back({each.key, each.value, clock_.now() - each.writtenAt});
    }
    if (delivery.records.empty())
        return;
    delivery.number = outbox.number = nextNumber_++;
    outbox.sentAt = clock_.now();
    send(owner, delivery);
}

void RecordExchange::endPublication(std::uint64_t number, bool isKept)
{
    const auto found = publications_.find(number);
    const Kept done = std::move(found->second.done);
    publications_.erase(found);
    stats_.kept += isKept ? 1 : 0;
    if (done)
        done(isKept);
}

std::optional<RecordValue> RecordExchange::find(RecordKey key) const
{
    const RecordTable::Record *record = table_.find(key, clock_.now());
    return record == nullptr || record->value == 0 ? std::nullopt
                                                   : std::optional<RecordValue>(record->value);
}

void RecordExchange::lookUp(RecordKey key, std::uint64_t scope, Completion done)
{
    ++stats_.lookUps;
    const std::uint64_t number = nextNumber_++;
    Query &query = queries_[number];
    query.key = key;
    query.scope = scope;
    query.done = std::move(done);
    if (const RecordTable::Record *record = table_.find(key, clock_.now()))
        return endQuery(number, record->value == 0 ? RecordLookUp::Ambiguous : RecordLookUp::Found,
                        record->value);
    query.owners = otherOwners(key, copies_ * static_cast<std::size_t>(maxRounds));
    askNext(number);
}

void RecordExchange::askNext(std::uint64_t number)
{
    Query &query = queries_.at(number);
    const std::size_t count = std::min(copies_, query.owners.size() - query.asked);
    if (query.rounds++ >= maxRounds || count == 0) {
        const RecordLookUp result = query.isAmbiguous ? RecordLookUp::Ambiguous
            : query.hasReply                          ? RecordLookUp::Missing
                                                      : RecordLookUp::Unreachable;
        return endQuery(number, result, 0);
    }
    query.deadline = clock_.now() + replyTimeout;
    const RecordQuery message{number, query.key, query.scope};
    const std::vector<PeerAddress> owners(
        query.owners.begin() + static_cast<std::ptrdiff_t>(query.asked),
        query.owners.begin() + static_cast<std::ptrdiff_t>(query.asked + count));
    query.asked += count;
    query.awaited = owners;
    for (const PeerAddress &owner : owners)
        send(owner, message);
}

void RecordExchange::endQuery(std::uint64_t number, RecordLookUp result, RecordValue value)
{
    const auto found = queries_.find(number);
    Query query = std::move(found->second);
    queries_.erase(found);
    stats_.found += result == RecordLookUp::Found ? 1 : 0;
    stats_.missing += result == RecordLookUp::Missing ? 1 : 0;
    stats_.unreachable += result == RecordLookUp::Unreachable ? 1 : 0;
    query.done({result, value, std::move(query.statements)});
}

bool RecordExchange::handleFrame(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeRecordMessage(frame);
    if (!message)
        return false;
    std::visit([&](const auto &each) { handle(from, each); }, *message);
    return true;
}

void RecordExchange::handle(const PeerAddress &from, const RecordDelivery &delivery)
{
    for (const SentRecord &each : delivery.records)
        table_.add(each.key, recordOf(each.value, each.age, false));
    send(from, RecordReceipt{delivery.number});
}

void RecordExchange::handle(const PeerAddress &from, const RecordReceipt &receipt)
{
    owners_.recordReply(from);
    const auto outbox = outboxes_.find(from);
    if (outbox == outboxes_.end() || outbox->second.number != receipt.number)
        return;
    for (const std::uint64_t number : std::exchange(outbox->second.inFlight, {})) {
        const auto found = publications_.find(number);
        if (found != publications_.end() && ++found->second.receipts >= found->second.wanted)
            endPublication(number, true);
    }
    flush(from);
}

void RecordExchange::handle(const PeerAddress &from, const RecordQuery &query)
{
    const RecordTable::Record *record = table_.find(query.key, clock_.now());
    RecordReply reply;
    reply.number = query.number;
    if (record != nullptr) {
        reply.value = record->value;
        reply.isAmbiguous = record->value == 0;
    } else if (statementAbout) {
        reply.statement = statementAbout(query.scope);
    }
    send(from, reply);
}

void RecordExchange::handle(const PeerAddress &from, const RecordReply &reply)
{
    owners_.recordReply(from);
    const auto found = queries_.find(reply.number);
    if (found == queries_.end())
        return;
    Query &query = found->second;
    const auto asked = query.owners.begin() + static_cast<std::ptrdiff_t>(query.asked);
    if (std::find(query.owners.begin(), asked, from) == asked)
        return;
    if (reply.value != 0)
        return endQuery(reply.number, RecordLookUp::Found, reply.value);
    query.hasReply = true;
    query.isAmbiguous = query.isAmbiguous || reply.isAmbiguous;
    if (reply.statement != 0)
        query.statements.push_back(reply.statement);
    const auto awaited = std::find(query.awaited.begin(), query.awaited.end(), from);
    if (awaited == query.awaited.end())
        return;
    query.awaited.erase(awaited);
    if (query.awaited.empty())
        askNext(reply.number);
}

void RecordExchange::tick()
{
    const Millis now = clock_.now();
    std::vector<std::uint64_t> overdue;
    for (const auto &[number, query] : queries_) {
        if (now >= query.deadline)
            overdue.push_back(number);
    }
    for (const std::uint64_t number : overdue)
        askNext(number);
    expirePublications(now);
    table_.expire(now);
}

void RecordExchange::expirePublications(Millis now)
{
    std::vector<PeerAddress> silent;
    for (auto &[owner, outbox] : outboxes_) {
        if (!outbox.inFlight.empty() && now - outbox.sentAt >= replyTimeout)
            silent.push_back(owner);
    }
    for (const PeerAddress &owner : silent) {
        owners_.recordMissedReply(owner, now);
        Outbox &outbox = outboxes_[owner];
        std::vector<std::uint64_t> unconfirmed = std::exchange(outbox.inFlight, {});
        if (owners_.isExcluded(owner, now)) {
            unconfirmed.insert(unconfirmed.end(), outbox.waiting.begin(), outbox.waiting.end());
            outbox.waiting.clear();
        }
        for (const std::uint64_t number : unconfirmed) {
            if (publications_.count(number) > 0)
                sendToNext(number);
        }
        flush(owner);
    }
    std::vector<std::uint64_t> overdue;
    for (const auto &[number, publication] : publications_) {
        if (now >= publication.deadline)
            overdue.push_back(number);
    }
    for (const std::uint64_t number : overdue)
        endPublication(number, false);
}

void RecordExchange::dropPending()
{
    publications_.clear();
    outboxes_.clear();
    queries_.clear();
}

void RecordExchange::send(const PeerAddress &to, const RecordMessage &message)
{
    transport_.send(to, encodeRecordMessage(message));
}

} // namespace cuminrail
