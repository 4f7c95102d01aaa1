#include "quarantine/trials/TrialLane.h"

#include "core/hash/StableHash.h"

namespace cuminrail {

const PeerAddress &TrialLane::owner(Millis now) const
{
    static const OwnershipKey key = StableHash().add("trials").value();
    return owners_.ownerOf(key, now);
}

bool TrialLane::take(const ContentFingerprint &content)
{
    const Millis now = clock_.now();
    const auto granted = granted_.find(content);
    if (granted != granted_.end()) {
        taken_[content] = granted->second.owner;
        granted_.erase(granted);
        return true;
    }
    if (!owner(now).empty()) {
        ask(content, now);
        return false;
    }
    const bool isGranted = grant(content);
    if (isGranted)
        taken_[content] = {};
    return isGranted;
}

void TrialLane::ask(const ContentFingerprint &content, Millis now)
{
    const auto asked = questions_.find(content);
    if (asked != questions_.end()) {
        const Question &question = asked->second;
        if (now < question.askedAt + (question.isAnswered ? askInterval : replyTimeout))
            return;
        if (!question.isAnswered)
            owners_.recordMissedReply(question.owner, now);
    }
    const PeerAddress asksNow = owner(now);
    if (asksNow.empty())
        return;
    questions_[content] = {asksNow, now};
    hooks_.ask(asksNow, content);
}

void TrialLane::finish(const RequestContents &contents)
{
    for (const ContentFingerprint &content : contents.all()) {
        const auto taken = taken_.find(content);
        if (taken == taken_.end())
            continue;
        if (taken->second.empty())
            release(content);
        else
            hooks_.finished(taken->second, content);
        taken_.erase(taken);
    }
}

bool TrialLane::grant(const ContentFingerprint &content)
{
    const Millis now = clock_.now();
    if (underWay_ && now < underWay_->until)
        return false;
    underWay_ = Trial{content, now + maxTrialTime};
    return true;
}

void TrialLane::release(const ContentFingerprint &content)
{
    if (underWay_ && underWay_->content == content)
        underWay_.reset();
}

void TrialLane::onReply(const PeerAddress &owner, const ContentFingerprint &content, bool isGranted)
{
    owners_.recordReply(owner);
    const auto asked = questions_.find(content);
    const bool wasReplaced = asked != questions_.end() && asked->second.owner != owner;
    if (asked != questions_.end() && !wasReplaced)
        asked->second.isAnswered = true;
    // Another owner has been asked since, and its trial may be under way.
    if (isGranted && wasReplaced)
        hooks_.finished(owner, content);
    else if (isGranted)
        granted_[content] = {owner, clock_.now() + grantLifetime};
}

void TrialLane::tick()
{
    const Millis now = clock_.now();
    for (auto each = granted_.begin(); each != granted_.end();) {
        if (now < each->second.until) {
            ++each;
            continue;
        }
        hooks_.finished(each->second.owner, each->first);
        each = granted_.erase(each);
    }
    for (auto each = questions_.begin(); each != questions_.end();) {
        const bool isOld = now >= each->second.askedAt + maxTrialTime;
        each = isOld ? questions_.erase(each) : std::next(each);
    }
}

} // namespace cuminrail
