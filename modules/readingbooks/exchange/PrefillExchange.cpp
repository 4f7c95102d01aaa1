#include "readingbooks/exchange/PrefillExchange.h"

#include "keepers/numbers/QueryNumbers.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

PrefillExchange::PrefillExchange(std::string self, PeerTransport transport, Clock clock)
    : self_(std::move(self)), transport_(std::move(transport)), clock_(std::move(clock)),
      nextNumber_(firstQueryNumber(clock_))
{ }

PrefillTracker &PrefillExchange::trackerOf(EngineKey engine)
{
    const auto [entry, isNew] = trackers_.try_emplace(engine);
    TrackedEngine &tracked = entry->second;
    if (isNew && wasUnusedAt && owners_.ownsKey(engine))
        tracked.tracker = PrefillTracker(wasUnusedAt(engine, ownersChangedAt_));
    tracked.usedAt = clock_.now();
    return tracked.tracker;
}

void PrefillExchange::setPeers(std::vector<OwnerCandidate> peers)
{
    if (owners_.setPeers(std::move(peers)))
        ownersChangedAt_ = clock_.now();
}

void PrefillExchange::send(const PeerAddress &to, const PrefillMessage &message)
{
    ++stats_.framesSent;
    transport_.send(to, encodePrefillMessage(message));
}

void PrefillExchange::query(const PromptChain &chain, const std::vector<EngineKey> &engines,
                            Completion done)
{
    const Millis now = clock_.now();
    ++stats_.queries;
    Pending pending;
    pending.done = std::move(done);
    pending.deadline = now + replyTimeout;
    const std::size_t engineCount = std::min(engines.size(), PrefillMessageLimits::engines);
    for (std::size_t i = 0; i < engineCount; ++i) {
        const PeerAddress &owner = owners_.ownerOf(engines[i], now);
        if (owner.empty())
            pending.estimates[engines[i]] = trackerOf(engines[i]).estimate(chain, now);
        else
            pending.awaited[owner].push_back(engines[i]);
    }
    if (pending.awaited.empty())
        return pending.done(pending.estimates);
    const std::uint64_t number = nextNumber_++;
    const auto awaited = pending.awaited;
    pending_[number] = std::move(pending);
    for (const auto &[owner, keys] : awaited)
        send(owner, PrefillQuery{number, chain, keys});
}

PrefillExchange::Entry PrefillExchange::announcePrefill(const PromptChain &chain, EngineKey engine,
                                                        double freshTokens, const PrefillRate &rate)
{
    const Millis now = clock_.now();
    Entry entry{nextNumber_++, engine, owners_.ownerOf(engine, now)};
    if (entry.owner.empty())
        trackerOf(engine).add({self_, entry.number}, chain, freshTokens, rate, now);
    else
        send(entry.owner, PrefillStart{entry.number, engine, chain, freshTokens, rate});
    return entry;
}

void PrefillExchange::finishEntry(Entry &entry, bool wasPrefilled)
{
    const Entry ended = std::exchange(entry, Entry());
    if (!ended.isSet())
        return;
    const PrefillEnd message{ended.number, ended.engine, wasPrefilled};
    if (ended.owner.empty())
        handle(self_, message);
    else
        send(ended.owner, message);
}

bool PrefillExchange::handleFrame(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodePrefillMessage(frame);
    if (!message) {
        ++stats_.framesRefused;
        return false;
    }
    std::visit([&](const auto &each) { handle(from, each); }, *message);
    return true;
}

void PrefillExchange::handle(const PeerAddress &from, const PrefillQuery &query)
{
    PrefillReply reply;
    reply.number = query.number;
    for (const EngineKey engine : query.engines)
        reply.estimates.push_back(trackerOf(engine).estimate(query.chain, clock_.now()));
    send(from, reply);
}

void PrefillExchange::handle(const PeerAddress &from, const PrefillReply &reply)
{
    owners_.recordReply(from);
    const auto found = pending_.find(reply.number);
    if (found == pending_.end())
        return;
    Pending &pending = found->second;
    const auto awaited = pending.awaited.find(from);
    if (awaited == pending.awaited.end() || awaited->second.size() != reply.estimates.size())
        return;
    for (std::size_t i = 0; i < reply.estimates.size(); ++i)
        pending.estimates[awaited->second[i]] = reply.estimates[i];
    pending.awaited.erase(awaited);
    if (pending.awaited.empty())
        complete(reply.number);
}

void PrefillExchange::handle(const PeerAddress &from, const PrefillStart &entry)
{
    trackerOf(entry.engine)
        .add({from, entry.number}, entry.chain, entry.freshTokens, entry.rate, clock_.now());
}

void PrefillExchange::handle(const PeerAddress &from, const PrefillEnd &end)
{
    const PrefillId id{from, end.number};
    if (end.wasPrefilled)
        trackerOf(end.engine).complete(id, clock_.now());
    else
        trackerOf(end.engine).cancel(id, clock_.now());
}

void PrefillExchange::complete(std::uint64_t number)
{
    const auto found = pending_.find(number);
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    pending.done(pending.estimates);
}

void PrefillExchange::tick()
{
    const Millis now = clock_.now();
    std::vector<std::uint64_t> timedOut;
    for (const auto &[number, pending] : pending_) {
        if (now >= pending.deadline)
            timedOut.push_back(number);
    }
    for (const std::uint64_t number : timedOut) {
        for (const auto &[owner, engines] : pending_[number].awaited) {
            ++stats_.unanswered;
            owners_.recordMissedReply(owner, now);
        }
        complete(number);
    }
    if (now >= nextDropAt_)
        dropIdleTrackers(now);
}

void PrefillExchange::dropIdleTrackers(Millis now)
{
    nextDropAt_ = now + trackerIdleTimeout / 4;
    for (auto it = trackers_.begin(); it != trackers_.end();)
        it = now - it->second.usedAt > trackerIdleTimeout ? trackers_.erase(it) : std::next(it);
}

} // namespace cuminrail
