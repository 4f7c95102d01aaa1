#include "dataplane/placement/PrefixCacheModel.h"

#include "core/hash/StableHash.h"

#include <algorithm>

namespace cuminrail {

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

std::uint32_t PrefixCacheModel::cachedTokens(const PromptChain &chain) const
{
    std::uint32_t cached = 0;
    for (const ChainLink &link : chain.links) {
        if (byKey_.count(link.key) == 0)
            break;
        cached += link.tokens;
    }
    return cached;
}

void PrefixCacheModel::remember(const PromptChain &chain)
{
    for (const ChainLink &link : chain.links) {
        const auto found = byKey_.find(link.key);
        if (found != byKey_.end()) {
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        recent_.push_front(link);
        byKey_[link.key] = recent_.begin();
        totalTokens_ += link.tokens;
    }
    while (totalTokens_ > capacity_ && !recent_.empty()) {
        totalTokens_ -= recent_.back().tokens;
        byKey_.erase(recent_.back().key);
        recent_.pop_back();
    }
}

} // namespace cuminrail
