#include "dataplane/placement/EngineMemory.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

/** A sample with less work says more about the fixed part than about the rate. */
constexpr double sampleTokens = 1500.0;
constexpr double slowestRate = 4.0;
constexpr double fastestRate = 80.0;

} // namespace

PromptChain PromptChain::of(const PromptShape &prompt)
{
    PromptChain chain;
    StableHash hash;
    hash.add(prompt.model);
    chain.sharedKey = hash.value();
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        hash.add(prompt.parts[i].id);
        chain.links.push_back({hash.value(), prompt.parts[i].tokens});
        chain.tokens += prompt.parts[i].tokens;
        if (i + 2 == prompt.parts.size())
            chain.sharedKey = hash.value();
    }
    chain.tokens = std::max(chain.tokens, prompt.inputTokens);
    return chain;
}

std::uint32_t EngineMemory::cachedTokens(const PromptChain &chain) const
{
    std::uint32_t cached = 0;
    for (const ChainLink &link : chain.links) {
        if (byKey_.count(link.key) == 0)
            break;
        cached += link.tokens;
    }
    return cached;
}

void EngineMemory::remember(const PromptChain &chain)
{
    for (const ChainLink &link : chain.links) {
        const auto found = byKey_.find(link.key);
        if (found != byKey_.end()) {
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        recent_.push_front(link);
        byKey_[link.key] = recent_.begin();
        held_ += link.tokens;
    }
    while (held_ > rememberedTokens && !recent_.empty()) {
        held_ -= recent_.back().tokens;
        byKey_.erase(recent_.back().key);
        recent_.pop_back();
    }
}

void EngineMemory::start(double freshTokens)
{
    openTokens_ += freshTokens;
    ++running_;
}

void ReadingRate::sample(double freshTokens, Millis took)
{
    const double millis = static_cast<double>(took.count());
    if (freshTokens < sampleTokens || millis <= EngineMemory::fixedMillis)
        return;
    const double seen =
        std::clamp(freshTokens / (millis - EngineMemory::fixedMillis), slowestRate, fastestRate);
    // Waiting makes samples too low; parts cached unexpectedly make a few too high.
    rate_ += (seen > rate_ ? 0.06 : 0.015) * (seen - rate_);
}

void EngineMemory::expect(AnswerTicket ticket, double expectedMillis, Millis now)
{
    expected_.emplace(ticket, Expected{now, expectedMillis});
}

void EngineMemory::answered(AnswerTicket ticket, Millis now)
{
    const auto found = expected_.find(ticket);
    if (found == expected_.end())
        return;
    const double took = static_cast<double>((now - found->second.sentAt).count());
    learn(std::max(0.0, took - found->second.millis), now);
    expected_.erase(found);
}

void EngineMemory::gaveUp(AnswerTicket ticket, Millis now)
{
    if (expected_.count(ticket) == 0)
        return;
    lag_ = std::max(lagAt(now), overdue(now));
    lagSeen_ = now;
    expected_.erase(ticket);
}

void EngineMemory::learn(double lateMillis, Millis now)
{
    lag_ = 0.5 * lagAt(now) + 0.5 * lateMillis;
    lagSeen_ = now;
}

double EngineMemory::overdue(Millis now) const
{
    double most = 0;
    for (const auto &[ticket, expected] : expected_)
        most =
            std::max(most, static_cast<double>((now - expected.sentAt).count()) - expected.millis);
    return most;
}

void EngineMemory::read(double freshTokens)
{
    openTokens_ = std::max(0.0, openTokens_ - freshTokens);
}

void EngineMemory::finish(double freshTokens, bool wasRead)
{
    if (!wasRead)
        openTokens_ = std::max(0.0, openTokens_ - freshTokens);
    running_ = std::max(0, running_ - 1);
}

void EngineMemory::refused(Millis now)
{
    lag_ = std::max(lagAt(now), refusalLagMillis);
    lagSeen_ = now;
}

double EngineMemory::lagAt(Millis now) const
{
    const double age = static_cast<double>((now - lagSeen_).count());
    return lag_ * std::exp2(-age / lagHalfLifeMillis);
}

double EngineMemory::waitMillis(double rate, Millis now) const
{
    return openTokens_ / rate + std::max(lagAt(now), overdue(now));
}

} // namespace cuminrail
