#pragma once

#include "core/names/NameTable.h"
#include "core/random/Random.h"
#include "dataplane/fleet/UpstreamDirectory.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

enum class PathState : std::uint8_t {
    /** The last new connection was established, or none was tried. */
    Sound,
    /** Connections fail; further upstreams are probed. */
    Doubted,
    /** No new connection to any upstream is established. */
    Cut,
};

inline constexpr NameTable<PathState, 3> pathStateNames{{{
    {PathState::Sound, "sound"},
    {PathState::Doubted, "doubted"},
    {PathState::Cut, "cut"},
}}};

/**
    Tells a fault of single upstreams from a fault of this instance's path to all of them.

    Only new connections count: one that was established ends every doubt, and the path is cut when
    connections to several upstreams of different failure domains failed since the last that was
    established. Silence of requests and of idle connections is no proof, as a sound upstream may be
    silent for a while; it only makes one upstream be probed.

    An upstream that fails while another one is reached says nothing of the path until it is reached
    itself: its process may have ended, or its entry may be of a writer that is no upstream.
*/
class UpstreamPath
{
public:
    /** Distinct upstreams whose connections failed, before the path counts as cut. */
    static constexpr std::size_t cutUpstreams = 4;
    /** Failure domains of these. */
    static constexpr std::size_t cutDomains = 2;
    /** Requests wait and no upstream sends anything for this long before one is probed. */
    static constexpr Millis silence = Millis(700);
    /** Minimum time between probes for such hints, and between two series of probes for doubt. */
    static constexpr Millis silenceProbeInterval = Millis(2000);
    static constexpr Millis doubtInterval = Millis(1000);
    /** Interval of trials while the path is cut, and the random part that is added to it. */
    static constexpr Millis trialInterval = Millis(500);
    static constexpr Millis trialJitter = Millis(250);
    /**
        Distinct upstreams that are reached in trials before a cut ends, or all of those that do not
        fail meanwhile. Trials begin anew when as many fail as show a cut, and no fewer than were
        reached, or when one fails that was reached before.
    */
    static constexpr std::size_t minTrials = 3;
    /** The same after relapses; doubled with each of them. */
    static constexpr std::size_t maxTrials = 12;
    /** A cut this soon after the one before is a relapse. */
    static constexpr Millis relapseWindow = Millis::seconds(10);
    /** A probe without an outcome after this time no longer counts as in progress. */
    static constexpr Millis probeTimeout = Millis(1000);

    explicit UpstreamPath(RandomHook random) : random_(std::move(random)) { }

    PathState state() const { return state_; }
    bool isCut() const { return state_ == PathState::Cut; }
    /** Returns when the path was cut last; nothing if it never was. */
    std::optional<Millis> cutSince() const { return cutSince_; }

    /** A new connection to an upstream was established. */
    void connected(const UpstreamEntry &upstream, Millis now);
    /** A connection to an upstream was refused, reset while connecting or not established in time.
     */
    void connectFailed(const UpstreamEntry &upstream, Millis now);
    /** A request to the upstream was under way over a connection, so that its failures count. */
    void heldConnection(const UpstreamEntry &upstream) { silent_.erase(upstream.incarnation()); }
    /** A request was sent over any connection. */
    void requestSent(Millis now);
    /** An upstream sent something, or no request waits any more. */
    void progressed() { waitingSince_.reset(); }
    /** The time in which a response should have begun is over. */
    void requestSilent() { isSuspected_ = isSuspected_ || waitingSince_.has_value(); }
    /** Idle connections were lost, or their other ends do not answer. */
    void idleSilent() { isSuspected_ = true; }

    /** Somebody waits for the end of a doubt, so that the next probes are due at once. */
    void probeNow(Millis now) { nextDoubtAt_ = now; }

    /**
        Decides whether the path is cut, and returns the upstreams to connect to now; the outcome of
        each must be reported.
    */
    std::vector<UpstreamPointer>
    dueProbes(const std::unordered_map<std::string, UpstreamPointer> &upstreams, Millis now);

private:
    /** The upstreams that could be probed. */
    struct Census
    {
        std::size_t listed = 0;
        /** Those whose failures count, and the number of their failure domains. */
        std::size_t witnesses = 0;
        std::size_t domains = 0;
    };

    /** Failed connections that count. */
    struct Evidence
    {
        std::size_t upstreams = 0;
        std::size_t domains = 0;
    };

    /** An upstream whose connection failed. */
    struct Failure
    {
        std::string domain;
        UpstreamIncarnation incarnation = 0;
    };

    using Upstreams = std::unordered_map<std::string, UpstreamPointer>;
    using UpstreamsByDomain = std::map<std::string, std::vector<UpstreamPointer>>;

    std::size_t wantedProbes(Millis now) const;
    /** Decides from the failures whether the path is cut. */
    void judge(Millis now);
    void trialFailed(const UpstreamEntry &upstream, Millis now);
    void setSound(Millis now);
    void setCut(Millis now);
    Millis trialDelay() const;
    Evidence evidence() const;
    bool isProbing(const std::string &id, Millis now) const;
    bool isSilent(UpstreamIncarnation upstream) const { return silent_.count(upstream) > 0; }
    void takeCensus(const Upstreams &upstreams);
    /** Returns the upstreams without a sign that a filter accepts, by failure domain. */
    UpstreamsByDomain untried(const Upstreams &upstreams, Millis now,
                              const std::function<bool(const UpstreamRecord &)> &filter) const;
    /** Moves upstreams of different domains to @p due until there are as many as wanted. */
    void pick(UpstreamsByDomain from, std::size_t wanted, std::vector<UpstreamPointer> &due) const;
    /** Returns at most @p wanted upstreams to probe, those first whose failures count. */
    std::vector<UpstreamPointer> choose(const Upstreams &upstreams, std::size_t wanted, Millis now);
    /** Removes the failures that count as evidence. */
    void forgetWitnesses();

    RandomHook random_;
    PathState state_ = PathState::Sound;
    Census census_;
    /** Upstreams whose connections failed since the last established one, or since the first one
        of the trials. */
    std::map<std::string, Failure> failures_;
    /** Upstreams that failed while another one was reached, and were not reached since. */
    std::set<UpstreamIncarnation> silent_;
    /** Upstreams that are being probed, and since when. */
    std::map<std::string, Millis> probes_;
    /** Upstreams that were reached in the trials of the current cut. */
    std::set<std::string> trials_;
    std::size_t requiredTrials_ = minTrials;
    Millis nextTrialAt_;
    Millis nextSilenceProbeAt_;
    Millis nextDoubtAt_;
    /** Something other than a new connection hints at a cut. */
    bool isSuspected_ = false;
    std::optional<Millis> waitingSince_;
    std::optional<Millis> cutSince_;
    std::optional<Millis> soundSince_;
};

} // namespace cuminrail
