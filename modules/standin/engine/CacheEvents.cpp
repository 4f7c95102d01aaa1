#include "standin/engine/CacheEvents.h"

#include "standin/server/Recorder.h"

#include <nlohmann/json.hpp>

namespace cuminrail::standin {

namespace {

constexpr std::size_t keptEvents = 4096;
constexpr std::size_t hashDigits = 16;

} // namespace

void CacheEvents::add(CacheEvent event)
{
    event.number = ++numbers_;
    events_.push_back(std::move(event));
    if (events_.size() > keptEvents)
        events_.pop_front();
}

void CacheEvents::store(const std::string &customer, const std::string &prompt,
                        std::uint64_t tokens, std::int64_t nowMs)
{
    const std::string hash = sha256Hex(customer + '\0' + prompt).substr(0, hashDigits);
    if (!storedHashes_.insert(hash).second)
        return;
    stored_.push_back({0, nowMs, true, customer, hash, tokens});
    cachedTokens_ += tokens;
    add(stored_.back());
    evict(nowMs);
}

void CacheEvents::evict(std::int64_t nowMs)
{
    while (cachedTokens_ > options_.maxTokens && !stored_.empty()) {
        CacheEvent oldest = stored_.front();
        stored_.pop_front();
        storedHashes_.erase(oldest.prefixHash);
        cachedTokens_ -= oldest.tokens;
        oldest.isStored = false;
        oldest.atMs = nowMs;
        add(std::move(oldest));
    }
}

void CacheEvents::clear()
{
    stored_.clear();
    storedHashes_.clear();
    events_.clear();
    cachedTokens_ = 0;
}

nlohmann::json CacheEvents::visible(std::uint64_t after, std::int64_t nowMs) const
{
    nlohmann::json list = nlohmann::json::array();
    std::uint64_t next = after;
    for (const CacheEvent &event : events_) {
        if (event.number <= after || event.atMs + options_.lagMs > nowMs)
            continue;
        next = event.number;
        if (options_.gapEvery != 0 && event.number % options_.gapEvery == 0)
            continue;
        list.push_back({{"number", event.number},
                        {"kind", event.isStored ? "stored" : "evicted"},
                        {"customer", event.customer},
                        {"prefix_hash", event.prefixHash},
                        {"tokens", event.tokens}});
    }
    return {{"events", std::move(list)}, {"next", next}};
}

} // namespace cuminrail::standin
