#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_set>

namespace cuminrail::standin {

struct CacheOptions
{
    /** Tokens that fit; the oldest prefix is evicted. */
    std::uint64_t maxTokens = 1U << 20;
    /** Events become visible this late. */
    std::uint32_t lagMs = 0;
    /** Every Nth event is never published; 0 for no gaps. */
    std::uint32_t gapEvery = 0;
};

/** The prefix cache as far as others see it: events that come late and with gaps. */
class CacheEvents
{
public:
    explicit CacheEvents(const CacheOptions &options) : options_(options) { }

    /** Notes a prompt; the prefix is known by customer and text, never across customers. */
    void store(const std::string &customer, const std::string &prompt, std::uint64_t tokens,
               std::int64_t nowMs);
    /** Forgets everything, as a crash does, without an event. */
    void clear();

    std::uint64_t cachedTokens() const { return cachedTokens_; }

    /** Returns `{"events": […], "next": N}` of what is visible and numbered above @p after. */
    nlohmann::json visible(std::uint64_t after, std::int64_t nowMs) const;

private:
    struct CacheEvent
    {
        std::uint64_t number;
        std::int64_t atMs;
        bool isStored;
        std::string customer;
        std::string prefixHash;
        std::uint64_t tokens;
    };

    void add(CacheEvent event);
    void evict(std::int64_t nowMs);

    CacheOptions options_;
    std::uint64_t numbers_ = 0;
    std::uint64_t cachedTokens_ = 0;
    std::deque<CacheEvent> events_;
    std::deque<CacheEvent> stored_;
    std::unordered_set<std::string> storedHashes_;
};

} // namespace cuminrail::standin
