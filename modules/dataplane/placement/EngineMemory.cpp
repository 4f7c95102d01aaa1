#include "dataplane/placement/EngineMemory.h"

#include "core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

/** Connecting, the engine's set-up and its first step; measured on an idle engine. */
constexpr double fixedMillis = 45.0;
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
    if (freshTokens < sampleTokens || millis <= fixedMillis)
        return;
    const double seen = std::clamp(freshTokens / (millis - fixedMillis), slowestRate, fastestRate);
    // Waiting makes samples too low; parts cached unexpectedly make a few too high.
    rate_ += (seen > rate_ ? 0.06 : 0.015) * (seen - rate_);
}

void EngineMemory::read(double freshTokens, Millis took, double rate, Millis now)
{
    openTokens_ = std::max(0.0, openTokens_ - freshTokens);
    const double millis = static_cast<double>(took.count());
    const double own = fixedMillis + (freshTokens + openTokens_) / rate;
    lag_ = 0.5 * lagAt(now) + 0.5 * std::max(0.0, millis - own);
    lagSeen_ = now;
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
    return openTokens_ / rate + lagAt(now);
}

} // namespace cuminrail
