#include "readingbooks/exchange/BookExchange.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

BookExchange::BookExchange(std::string self, PeerTransport transport, Clock clock)
    : self_(std::move(self)), transport_(std::move(transport)), clock_(std::move(clock))
{ }

ReadingBook &BookExchange::book(EngineKey engine)
{
    const auto [entry, isNew] = books_.try_emplace(engine);
    Kept &kept = entry->second;
    if (isNew && hadReadNothing && keepers_.isOwn(engine))
        kept.book = ReadingBook(hadReadNothing(engine, keepersSince_));
    kept.usedAt = clock_.now();
    return kept.book;
}

void BookExchange::setPeers(std::vector<KeeperCandidate> peers)
{
    if (keepers_.setPeers(std::move(peers)))
        keepersSince_ = clock_.now();
}

void BookExchange::send(const PeerAddress &to, const BookMessage &message)
{
    ++stats_.framesSent;
    transport_.send(to, encodeBookMessage(message));
}

void BookExchange::ask(const PromptChain &chain, const std::vector<EngineKey> &engines,
                       Completion done)
{
    const Millis now = clock_.now();
    ++stats_.questions;
    Pending pending;
    pending.done = std::move(done);
    pending.until = now + answerTimeout;
    const std::size_t most = std::min(engines.size(), BookMessageLimits::engines);
    for (std::size_t i = 0; i < most; ++i) {
        const PeerAddress &keeper = keepers_.keeperOf(engines[i], now);
        if (keeper.empty())
            pending.offers[engines[i]] = book(engines[i]).offer(chain, now);
        else
            pending.asked[keeper].push_back(engines[i]);
    }
    if (pending.asked.empty())
        return pending.done(pending.offers);
    const std::uint64_t number = nextNumber_++;
    const auto asked = pending.asked;
    pending_[number] = std::move(pending);
    for (const auto &[keeper, theirs] : asked)
        send(keeper, BookQuestion{number, chain, theirs});
}

BookExchange::Entry BookExchange::enter(const PromptChain &chain, EngineKey engine,
                                        double freshTokens, const ReadingPace &pace)
{
    const Millis now = clock_.now();
    Entry entry{nextNumber_++, engine, keepers_.keeperOf(engine, now)};
    if (entry.keeper.empty())
        book(engine).enter({self_, entry.number}, chain, freshTokens, pace, now);
    else
        send(entry.keeper, BookEntry{entry.number, engine, chain, freshTokens, pace});
    return entry;
}

void BookExchange::end(Entry &entry, bool wasRead)
{
    const Entry ended = std::exchange(entry, Entry());
    if (!ended.isSet())
        return;
    const BookEnd message{ended.number, ended.engine, wasRead};
    if (ended.keeper.empty())
        on(self_, message);
    else
        send(ended.keeper, message);
}

bool BookExchange::received(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeBookMessage(frame);
    if (!message) {
        ++stats_.framesRefused;
        return false;
    }
    std::visit([&](const auto &each) { on(from, each); }, *message);
    return true;
}

void BookExchange::on(const PeerAddress &from, const BookQuestion &question)
{
    BookAnswer answer;
    answer.number = question.number;
    for (const EngineKey engine : question.engines)
        answer.offers.push_back(book(engine).offer(question.chain, clock_.now()));
    send(from, answer);
}

void BookExchange::on(const PeerAddress &from, const BookAnswer &answer)
{
    keepers_.answered(from);
    const auto found = pending_.find(answer.number);
    if (found == pending_.end())
        return;
    Pending &pending = found->second;
    const auto asked = pending.asked.find(from);
    if (asked == pending.asked.end() || asked->second.size() != answer.offers.size())
        return;
    for (std::size_t i = 0; i < answer.offers.size(); ++i)
        pending.offers[asked->second[i]] = answer.offers[i];
    pending.asked.erase(asked);
    if (pending.asked.empty())
        finish(answer.number);
}

void BookExchange::on(const PeerAddress &from, const BookEntry &entry)
{
    book(entry.engine)
        .enter({from, entry.number}, entry.chain, entry.freshTokens, entry.pace, clock_.now());
}

void BookExchange::on(const PeerAddress &from, const BookEnd &end)
{
    const ReadingTicket ticket{from, end.number};
    if (end.wasRead)
        book(end.engine).read(ticket, clock_.now());
    else
        book(end.engine).takeBack(ticket, clock_.now());
}

void BookExchange::finish(std::uint64_t number)
{
    const auto found = pending_.find(number);
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    pending.done(pending.offers);
}

void BookExchange::tick()
{
    const Millis now = clock_.now();
    std::vector<std::uint64_t> over;
    for (const auto &[number, pending] : pending_) {
        if (now >= pending.until)
            over.push_back(number);
    }
    for (const std::uint64_t number : over) {
        for (const auto &[keeper, engines] : pending_[number].asked) {
            ++stats_.unanswered;
            keepers_.leftUnanswered(keeper, now);
        }
        finish(number);
    }
    if (now >= nextDrop_)
        dropOldBooks(now);
}

void BookExchange::dropOldBooks(Millis now)
{
    nextDrop_ = now + bookIdle / 4;
    for (auto it = books_.begin(); it != books_.end();)
        it = now - it->second.usedAt > bookIdle ? books_.erase(it) : std::next(it);
}

} // namespace cuminrail
