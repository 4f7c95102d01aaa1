#include "readingbooks/book/ReadingBook.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** One answer corrects the foreseen end by this part of its lateness; singles vary. */
constexpr double correctionWeight = 0.5;

double asNumber(Millis instant)
{
    return static_cast<double>(instant.count());
}

} // namespace

ReadingOffer ReadingBook::offer(const PromptChain &chain, Millis now) const
{
    ReadingOffer offer;
    offer.waitMillis = waitMillis(now);
    offer.freshTokens = double(chain.tokens) - double(parts_.cachedTokens(chain));
    offer.heldTokens = double(readParts_.cachedTokens(chain));
    offer.knowsParts = begunAt_ && now - *begunAt_ >= learningSpan;
    offer.isComplete = isComplete_;
    return offer;
}

void ReadingBook::enter(const ReadingTicket &ticket, const PromptChain &chain, double freshTokens,
                        const ReadingPace &pace, Millis now)
{
    forgetOld(now);
    // Doubled on the way, an entry would count twice and be taken back once.
    if (readings_.count(ticket) > 0)
        return;
    if (!begunAt_)
        begunAt_ = now;
    const double missing = double(chain.tokens) - double(parts_.cachedTokens(chain));
    const double fresh = std::min(missing, freshTokens);
    parts_.remember(chain);
    const double millis = fresh / std::max(pace.tokensPerMilli, 1.0);
    const double freeAt = readings_.empty() ? asNumber(now) : std::max(freeAt_, asNumber(now));
    freeAt_ = freeAt + millis;
    readings_[ticket] = Reading{millis, freeAt_, pace.fixedMillis, now, chain};
}

void ReadingBook::read(const ReadingTicket &ticket, Millis now)
{
    const auto found = readings_.find(ticket);
    if (found == readings_.end())
        return;
    const Reading reading = found->second;
    readings_.erase(found);
    readParts_.remember(reading.chain);
    const double late = asNumber(now) - reading.fixedMillis - reading.endsAt;
    const double shift = correctionWeight * late;
    freeAt_ += shift;
    readUpTo_ = std::max(readUpTo_, reading.endsAt) + shift;
    for (auto &[other, left] : readings_)
        left.endsAt += shift;
}

void ReadingBook::takeBack(const ReadingTicket &ticket, Millis now)
{
    const auto found = readings_.find(ticket);
    if (found == readings_.end())
        return;
    const Reading gone = found->second;
    readings_.erase(found);
    const double left = std::clamp(gone.endsAt - asNumber(now), 0.0, gone.millis);
    freeAt_ -= left;
    for (auto &[other, reading] : readings_) {
        if (reading.endsAt > gone.endsAt)
            reading.endsAt -= left;
    }
}

double ReadingBook::waitMillis(Millis now) const
{
    double most = 0;
    bool isAnyLeft = false;
    for (const auto &[ticket, reading] : readings_) {
        if (reading.endsAt <= readUpTo_ || isOld(reading, now))
            continue;
        isAnyLeft = true;
        most = std::max(most, asNumber(now) - reading.fixedMillis - reading.endsAt);
    }
    return isAnyLeft ? std::max(0.0, freeAt_ - asNumber(now)) + most : 0;
}

bool ReadingBook::isOld(const Reading &reading, Millis now)
{
    return now - reading.enteredAt > longestReading;
}

void ReadingBook::forgetOld(Millis now)
{
    for (auto it = readings_.begin(); it != readings_.end();)
        it = isOld(it->second, now) ? readings_.erase(it) : std::next(it);
}

} // namespace cuminrail
