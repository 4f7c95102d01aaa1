#pragma once

#include "dataplane/fleet/UpstreamDirectory.h"
#include "keepers/testing/FrameNetwork.h"
#include "streams/streams.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail::testing {

/**
    Instances in virtual time that relay streams of one route, while upstreams of several software
    versions come and go and callers take broken streams up at other instances.

    Simulates the gateway's part: placing, events, and what breaks when an instance or an upstream
    ends. Records streams that received events of two versions.
*/
class StreamCluster : public FrameNetwork
{
public:
    struct Counts
    {
        int begun = 0;
        int takenUp = 0;
        /** Of these, while two upstreams of the version were listed where it was taken up. */
        int possible = 0;
        int wentOn = 0;
        int mixed = 0;
        /** Refused later than this cluster's bound. */
        int heardLate = 0;
    };

    /** An instance that has not replied to a caller by then counts as late. */
    static constexpr Millis lateAfter = Millis(700);
    static constexpr Millis step = Millis(5);

    StreamCluster(int instances, int domains, std::uint64_t seed,
                  std::size_t copies = RecordExchange::defaultCopies)
        : FrameNetwork(seed), domains_(domains), copies_(copies),
          nodes_(static_cast<std::size_t>(instances))
    {
        configuration_.routes.push_back(route());
        for (int i = 0; i < 6; ++i)
            addUpstream("v1");
        for (int i = 0; i < instances; ++i)
            start(i);
        advance(StreamOrigins::longestStream(configuration_) + StreamOrigins::lifetimeReserve
                + Millis(1000));
    }

    int count() const { return static_cast<int>(nodes_.size()); }
    int domainOf(int i) const { return i % domains_; }
    StreamOrigins &origins(int i) { return *node(i).origins; }

    static Route route()
    {
        Route made;
        made.name = "stream";
        made.kind = RouteKind::Stream;
        made.canResume = true;
        made.timeout = Millis(4000);
        made.targets = {{"svc", 1}};
        return made;
    }

    void kill(int i)
    {
        dead.insert(i);
        breakStreams([i](const Stream &each) { return each.instance == i; });
    }
    /** How an instance starts. */
    struct Start
    {
        /** As one of a system that has never run before. */
        bool isFirst = false;
        /** Time until it has the list of upstreams. */
        Millis listDelay;
    };

    void start(int i) { start(i, Start()); }
    /** Starts an instance without any state. */
    void start(int i, Start how)
    {
        dead.erase(i);
        Node &made = node(i);
        made = Node();
        made.directory = std::make_unique<UpstreamDirectory>();
        made.directory->setVersionRetention(StreamOrigins::longestStream(configuration_)
                                            + StreamOrigins::lifetimeReserve);
        if (how.isFirst)
            made.directory->setNoVersionsBefore(now + StreamOrigins::spreadTime);
        made.listDueAt = now + how.listDelay;
        made.confirmedAt = now - maxListAge;
        applyChanges(i);
        made.origins = std::make_unique<StreamOrigins>(StreamOrigins::Environment{
            counted(transportOf(i)), Clock([this] { return now; }), made.directory->versions(),
            [this, i] { return now - node(i).confirmedAt < maxListAge; }, copies_});
        made.origins->setConfiguration(configuration_);
        std::vector<OwnerCandidate> peers = peersOf(i, count());
        for (OwnerCandidate &peer : peers)
            peer.failureDomain = "d" + std::to_string(domainOf(numberOf(peer.instance.text())));
        made.origins->setPeers(std::move(peers));
    }
    void stopAsPlanned(int i)
    {
        origins(i).handOver();
        advance(Millis(200));
        kill(i);
    }

    void addUpstream(const std::string &version)
    {
        UpstreamEntry entry;
        entry.id = "u-" + std::to_string(nextUpstream_++);
        entry.service = "svc";
        entry.address = "10.0.0.1:" + entry.id.substr(2);
        entry.softwareVersion = version;
        entry.startedAt = now.count();
        listed_.push_back(entry);
        noteChange(entry, false);
    }
    /** Replaces the oldest upstream of one version by one of another one. */
    void replaceUpstream(const std::string &from, const std::string &to)
    {
        addUpstream(to);
        const auto oldest =
            std::find_if(listed_.begin(), listed_.end(),
                         [&](const UpstreamEntry &each) { return each.softwareVersion == from; });
        if (oldest == listed_.end())
            return;
        const UpstreamEntry gone = *oldest;
        listed_.erase(oldest);
        noteChange(gone, true);
        breakStreams([&gone](const Stream &each) { return each.upstream == gone.id; });
    }

    /** Begins a stream at an instance; its caller takes it up elsewhere when it breaks. */
    void beginStream(int i)
    {
        const auto upstream = anyUpstream(i, {});
        if (!isRunning(i) || !upstream)
            return;
        const int number = static_cast<int>(streams_.size());
        Stream stream;
        stream.instance = i;
        stream.upstream = upstream->id;
        stream.version = upstream->softwareVersion;
        stream.nextEventAt = now + Millis(20 + pick(200));
        streams_.push_back(stream);
        ++counts.begun;
        active_.push_back(number);
    }

    void advance(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + step;
            deliver([this](int to, const PeerAddress &from, const std::string &frame) {
                origins(to).handleFrame(from, frame);
            });
            for (int i = 0; i < count(); ++i) {
                if (!isRunning(i))
                    continue;
                applyChanges(i);
                origins(i).tick();
            }
            stepStreams();
        }
    }

    Counts counts;
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
    /** Longest time after which an instance knows that an upstream came or went. */
    Millis maxListDelay = Millis(1000);
    /** Callers that reach no instance try again after this time; they give up if it is not set. */
    std::optional<Millis> retryInterval;

private:
    enum class State { Waiting, Holding, Running, Broken, Resolving, Over };
    struct Stream
    {
        State state = State::Waiting;
        int instance = 0;
        std::string upstream;
        std::string version;
        /** Version of the events that the caller has; empty before the first. */
        std::string received;
        int events = 0;
        Millis nextEventAt;
        Millis askedAt;
    };
    struct Change
    {
        UpstreamEntry entry;
        bool isRemoved = false;
        Millis at;
    };
    struct Node
    {
        std::unique_ptr<UpstreamDirectory> directory;
        std::unique_ptr<StreamOrigins> origins;
        std::size_t appliedChanges = 0;
        /** When the first list arrives; nothing once it has. */
        std::optional<Millis> listDueAt;
        /** When the list was last known to be current. */
        Millis confirmedAt;
    };

    static constexpr int eventsPerStream = 12;
    static constexpr Millis maxListAge = Millis(4000);

    Node &node(int i) { return nodes_[static_cast<std::size_t>(i)]; }
    static std::string idOf(int number) { return "r-" + std::to_string(number); }
    static RecordKey keyOf(int number) { return StreamOrigins::keyOf("c", "stream", idOf(number)); }

    void noteChange(const UpstreamEntry &entry, bool isRemoved)
    {
        changes_.push_back({entry, isRemoved, now});
    }

    /** Applies changes of the list in order, each after a delay that differs between instances. */
    void applyChanges(int i)
    {
        Node &each = node(i);
        if (each.listDueAt && now < *each.listDueAt)
            return;
        if (std::exchange(each.listDueAt, std::nullopt)) {
            each.directory->replaceAll(listed_, now);
            each.appliedChanges = changes_.size();
        }
        each.confirmedAt = now;
        while (each.appliedChanges < changes_.size()) {
            const Change &change = changes_[each.appliedChanges];
            const auto spread = static_cast<std::uint64_t>(maxListDelay.count());
            const std::uint64_t hash =
                StableHash().add(each.appliedChanges).add(static_cast<std::uint64_t>(i)).value();
            if (now < change.at + Millis(static_cast<std::int64_t>(hash % spread)))
                return;
            ++each.appliedChanges;
            if (change.isRemoved)
                each.directory->remove(change.entry.id, now);
            else
                each.directory->update(change.entry, now);
        }
    }

    bool isServing(const std::string &id) const
    {
        return std::any_of(listed_.begin(), listed_.end(),
                           [&](const UpstreamEntry &each) { return each.id == id; });
    }

    /** Returns an upstream as an instance lists it, of a version if one is given. */
    std::optional<UpstreamEntry> anyUpstream(int i, const std::string &version)
    {
        std::vector<UpstreamEntry> candidates;
        for (const UpstreamPointer &each : node(i).directory->usable("svc")) {
            if (version.empty() || each->entry.softwareVersion == version)
                candidates.push_back(each->entry);
        }
        std::vector<UpstreamEntry> serving;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(serving),
                     [this](const UpstreamEntry &each) { return isServing(each.id); });
        if (serving.empty())
            return std::nullopt;
        return serving[static_cast<std::size_t>(pick(static_cast<int>(serving.size())))];
    }

    template<typename Predicate>
    void breakStreams(Predicate isBroken)
    {
        for (const int number : active_) {
            Stream &each = streams_[static_cast<std::size_t>(number)];
            if (each.state == State::Over || !isBroken(each))
                continue;
            // A stream without events is no take-up: its caller begins anew.
            each.state = each.received.empty() ? State::Over : State::Broken;
            each.nextEventAt = now + Millis(20 + pick(300));
        }
    }

    void stepStreams()
    {
        for (std::size_t i = 0; i < active_.size(); ++i)
            stepStream(active_[i]);
        active_.erase(std::remove_if(active_.begin(), active_.end(),
                                     [this](int number) {
                                         return streams_[static_cast<std::size_t>(number)].state
                                             == State::Over;
                                     }),
                      active_.end());
    }

    void stepStream(int number)
    {
        Stream &each = streams_[static_cast<std::size_t>(number)];
        if (each.state == State::Broken && now >= each.nextEventAt)
            return takeUp(number);
        // Time in which its instance is frozen does not count.
        if (each.state == State::Resolving && !isRunning(each.instance))
            each.askedAt = now;
        if (each.state == State::Resolving && now - each.askedAt > lateAfter) {
            ++counts.heardLate;
            each.state = State::Over;
        }
        const bool isEventDue = now >= each.nextEventAt && frozen.count(each.instance) == 0;
        if (each.state == State::Waiting && isEventDue)
            return hold(number);
        if (each.state == State::Running && isEventDue)
            passEvent(each);
    }

    void hold(int number)
    {
        Stream &each = streams_[static_cast<std::size_t>(number)];
        each.state = State::Holding;
        const int instance = each.instance;
        const RecordValue value = StreamOrigins::valueOf("svc", each.version);
        origins(instance).began(keyOf(number), route(), value, [this, number, instance] {
            Stream &held = streams_[static_cast<std::size_t>(number)];
            if (held.state == State::Holding && held.instance == instance)
                passEvent(held);
        });
    }

    void passEvent(Stream &each)
    {
        each.state = State::Running;
        each.nextEventAt = now + Millis(100);
        if (!each.received.empty() && each.received != each.version)
            ++counts.mixed;
        each.received = each.version;
        if (++each.events >= eventsPerStream)
            each.state = State::Over;
    }

    void takeUp(int number)
    {
        Stream &each = streams_[static_cast<std::size_t>(number)];
        int instance = pick(count());
        for (int tries = 0; tries < 20 && dead.count(instance) > 0; ++tries)
            instance = pick(count());
        if (dead.count(instance) > 0) {
            each.state = retryInterval ? State::Broken : State::Over;
            each.nextEventAt = now + retryInterval.value_or(Millis(0));
            return;
        }
        each.state = State::Resolving;
        each.instance = instance;
        each.askedAt = now;
        ++counts.takenUp;
        origins(instance).resolve({keyOf(number), idOf(number), route()},
                                  [this, number, instance](const StreamOrigin &origin) {
                                      onOrigin(number, instance, origin);
                                  });
    }

    void onOrigin(int number, int instance, const StreamOrigin &origin)
    {
        Stream &each = streams_[static_cast<std::size_t>(number)];
        if (each.state != State::Resolving || each.instance != instance)
            return;
        const auto same = std::count_if(node(instance).directory->usable("svc").begin(),
                                        node(instance).directory->usable("svc").end(),
                                        [&](const UpstreamPointer &upstream) {
                                            return upstream->entry.softwareVersion == each.received
                                                && isServing(upstream->entry.id);
                                        });
        const bool isPossible = same >= 2;
        counts.possible += isPossible ? 1 : 0;
        const auto upstream = origin.status == OriginStatus::Known
            ? anyUpstream(instance, origin.softwareVersion)
            : std::nullopt;
        if (!upstream) {
            each.state = State::Over;
            return;
        }
        counts.wentOn += isPossible ? 1 : 0;
        each.upstream = upstream->id;
        each.version = upstream->softwareVersion;
        // Its record is renewed; the event need not wait for that.
        origins(instance).began(keyOf(number), route(), StreamOrigins::valueOf("svc", each.version),
                                [] {});
        each.state = State::Running;
        each.nextEventAt = now + Millis(20 + pick(100));
    }

    PeerTransport counted(PeerTransport inner)
    {
        PeerTransport transport;
        transport.send = [this, inner = std::move(inner)](const PeerAddress &to,
                                                          std::string frame) {
            ++frames;
            bytes += frame.size();
            inner.send(to, std::move(frame));
        };
        return transport;
    }

    int domains_;
    std::size_t copies_;
    Configuration configuration_;
    std::vector<UpstreamEntry> listed_;
    std::vector<Change> changes_;
    std::vector<Node> nodes_;
    std::vector<Stream> streams_;
    std::vector<int> active_;
    int nextUpstream_ = 1;
};

} // namespace cuminrail::testing
