#pragma once

#include "core/time/Clock.h"
#include "keepers/ranking/OwnerRanking.h"
#include "quarantine/fingerprint/RequestContents.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    Admits one request at a time with a content that is held, over all instances and contents: two
    trials at one upstream could not be told apart.

    One instance, the owner, grants trials. An instance whose owner leaves a question without a
    reply asks the next one; several owners that grant at once cost one upstream more each.

    Bounded by the contents that are held. Not thread-safe.
*/
class TrialLane
{
public:
    static constexpr Millis replyTimeout = Millis(40);
    /** Time between two questions, if the first one was answered. */
    static constexpr Millis askInterval = Millis(60);
    /** A trial whose outcome is not known by then no longer keeps others back. */
    static constexpr Millis maxTrialTime = Millis(1500);
    /** A granted trial that no waiting request takes by then is returned. */
    static constexpr Millis grantLifetime = Millis(100);

    struct Hooks
    {
        /** Sends a question to the owner. */
        std::function<void(const PeerAddress &owner, const ContentFingerprint &content)> ask;
        /** Tells the owner that a trial is over. */
        std::function<void(const PeerAddress &owner, const ContentFingerprint &content)> finished;
    };

    TrialLane(Clock clock, OwnerRanking &owners, Hooks hooks)
        : clock_(std::move(clock)), owners_(owners), hooks_(std::move(hooks))
    { }

    /** Takes the trial of a content if it is granted; asks for it otherwise. */
    bool take(const ContentFingerprint &content);
    /** The request that took the trial of one of its contents needs it no more. */
    void finish(const RequestContents &contents);

    /** As the owner: returns whether another instance gets a trial. */
    bool grant(const ContentFingerprint &content);
    /** As the owner: a trial is over. */
    void release(const ContentFingerprint &content);
    /** An owner replied. */
    void onReply(const PeerAddress &owner, const ContentFingerprint &content, bool isGranted);
    /** Returns granted trials that no request took. */
    void tick();

private:
    struct Question
    {
        PeerAddress owner;
        Millis askedAt;
        bool isAnswered = false;
    };
    struct Grant
    {
        PeerAddress owner;
        Millis until;
    };
    struct Trial
    {
        ContentFingerprint content;
        Millis until;
    };

    const PeerAddress &owner(Millis now) const;
    void ask(const ContentFingerprint &content, Millis now);

    Clock clock_;
    OwnerRanking &owners_;
    Hooks hooks_;
    /** As the owner: the trial under way. */
    std::optional<Trial> underWay_;
    std::unordered_map<ContentFingerprint, Question> questions_;
    /** Trials that a request here may take. */
    std::unordered_map<ContentFingerprint, Grant> granted_;
    /** The owners that granted the trials of requests here. */
    std::unordered_map<ContentFingerprint, PeerAddress> taken_;
};

} // namespace cuminrail
