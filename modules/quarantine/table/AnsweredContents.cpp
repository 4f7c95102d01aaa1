#include "quarantine/table/AnsweredContents.h"

#include <algorithm>

namespace cuminrail {

void AnsweredContents::record(const ContentFingerprint &content, Millis beganAt, Millis now)
{
    const auto [entry, isNew] = answers_.try_emplace(content, Answer{beganAt, now + retention});
    if (isNew) {
        order_.push_back(content);
    } else {
        entry->second.beganAt = std::max(entry->second.beganAt, beganAt);
        entry->second.expiresAt = now + retention;
    }
    if (order_.size() > maxContents)
        removeOldest();
}

std::optional<Millis> AnsweredContents::lastBeganAt(const ContentFingerprint &content,
                                                    Millis now) const
{
    const auto found = answers_.find(content);
    if (found == answers_.end() || now >= found->second.expiresAt)
        return std::nullopt;
    return found->second.beganAt;
}

void AnsweredContents::expire(Millis now)
{
    std::deque<ContentFingerprint> kept;
    for (const ContentFingerprint &content : order_) {
        if (now < answers_.at(content).expiresAt)
            kept.push_back(content);
        else
            answers_.erase(content);
    }
    order_ = std::move(kept);
}

void AnsweredContents::removeOldest()
{
    answers_.erase(order_.front());
    order_.pop_front();
}

} // namespace cuminrail
