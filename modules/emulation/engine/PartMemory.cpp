#include "emulation/engine/PartMemory.h"

namespace cuminrail::emulation {

double PartMemory::held(const PromptChain &chain) const
{
    double tokens = 0;
    for (const ChainLink &link : chain.links) {
        if (byKey_.count(link.key) == 0)
            break;
        tokens += link.tokens;
    }
    return tokens;
}

void PartMemory::touch(const PromptChain &chain)
{
    // Touches the first part last, so that it is evicted last: the others are useless without it.
    for (auto link = chain.links.rbegin(); link != chain.links.rend(); ++link) {
        const auto found = byKey_.find(link->key);
        if (found != byKey_.end())
            recent_.splice(recent_.begin(), recent_, found->second);
    }
}

void PartMemory::keep(const PromptChain &chain)
{
    for (const ChainLink &link : chain.links) {
        if (byKey_.count(link.key) > 0)
            continue;
        recent_.push_front(link);
        byKey_[link.key] = recent_.begin();
        cached_ += link.tokens;
    }
    touch(chain);
    evictTo(capacity_ - reserved_);
}

bool PartMemory::reserve(double tokens)
{
    if (reserved_ + tokens > capacity_)
        return false;
    reserved_ += tokens;
    evictTo(capacity_ - reserved_);
    return true;
}

void PartMemory::evictTo(double tokens)
{
    while (cached_ > tokens && !recent_.empty()) {
        cached_ -= recent_.back().tokens;
        byKey_.erase(recent_.back().key);
        recent_.pop_back();
    }
}

void PartMemory::clear()
{
    recent_.clear();
    byKey_.clear();
    cached_ = 0;
    reserved_ = 0;
}

} // namespace cuminrail::emulation
