#include <doctest/doctest.h>

#include "dataplane/path/UpstreamPath.h"

#include <algorithm>
#include <functional>
#include <set>
#include <vector>

using namespace cuminrail;

namespace {

/** Upstreams of several domains, some of which cannot be reached, and a path that probes them. */
class PathRun
{
public:
    PathRun(int upstreams, int domains, std::uint64_t seed = 1) : path(seededRandom(seed))
    {
        for (int i = 0; i < upstreams; ++i) {
            auto record = std::make_shared<UpstreamRecord>();
            record->entry.id = "u-" + std::to_string(i);
            record->entry.failureDomain = domainName(i % domains);
            all[record->entry.id] = record;
        }
    }

    static std::string domainName(int index)
    {
        return std::string(1, static_cast<char>('a' + index));
    }

    /** Makes an upstream one that is never reached, in the given domain. */
    void silence(int index, const std::string &domain)
    {
        const auto &upstream = all.at("u-" + std::to_string(index));
        upstream->entry.failureDomain = domain;
        silent.insert(upstream->entry.id);
    }

    /** Lets requests meet each silent upstream while all others are reached. */
    void meetSilent(Millis delay)
    {
        for (const std::string &id : silent) {
            path.connectFailed(all.at(id)->entry, now);
            run(Millis(1500), delay, reached());
        }
    }

    std::function<bool(const UpstreamEntry &)> reached() const
    {
        return [this](const UpstreamEntry &entry) { return silent.count(entry.id) == 0; };
    }

    /**
        Probes for a time; the outcome of each probe is known after a delay, that of a connection
        after connectTime, if it is set.
    */
    void run(Millis duration, Millis delay, const std::function<bool(const UpstreamEntry &)> &works)
    {
        const Millis end = now + duration;
        for (; now < end; now += Millis(20)) {
            for (auto each = pending.begin(); each != pending.end();) {
                if (each->first > now) {
                    ++each;
                    continue;
                }
                const UpstreamPointer upstream = each->second;
                each = pending.erase(each);
                report(upstream->entry, works);
            }
            for (const UpstreamPointer &upstream : path.dueProbes(all, now)) {
                ++probes;
                const bool isReached = connectTime && works(upstream->entry);
                pending.emplace(now + (isReached ? *connectTime : delay), upstream);
            }
        }
    }

    void report(const UpstreamEntry &entry, const std::function<bool(const UpstreamEntry &)> &works)
    {
        if (works(entry))
            path.connected(entry, now);
        else
            path.connectFailed(entry, now);
    }

    UpstreamPath path;
    std::unordered_map<std::string, UpstreamPointer> all;
    /** Identifiers of those that are never reached. */
    std::set<std::string> silent;
    std::optional<Millis> connectTime;
    std::multimap<Millis, UpstreamPointer> pending;
    Millis now = Millis(1000);
    int probes = 0;
};

/** Where upstreams that are never reached stand among the failure domains of the others. */
enum class SilentPlace : std::uint8_t { InOneDomain, InAllDomains, InOwnDomain };

struct SilentCase
{
    int upstreams;
    int silent;
    int domains;
    SilentPlace place;
    Millis delay;
};

/** All numbers of upstreams up to 13 with one to three silent ones, in all places. */
std::vector<SilentCase> silentCases()
{
    std::vector<SilentCase> cases;
    for (int upstreams = 2; upstreams <= 13; ++upstreams) {
        for (int silent = 1; silent <= std::min(3, upstreams - 1); ++silent) {
            for (int domains = 1; domains <= std::min(4, upstreams); ++domains) {
                for (const SilentPlace place : {SilentPlace::InOneDomain, SilentPlace::InAllDomains,
                                                SilentPlace::InOwnDomain})
                    for (const Millis delay : {Millis(0), Millis(250)})
                        cases.push_back({upstreams, silent, domains, place, delay});
            }
        }
    }
    return cases;
}

PathRun makeRun(const SilentCase &row, std::uint64_t seed)
{
    PathRun run(row.upstreams, row.domains, seed);
    run.connectTime = Millis(1);
    for (int i = 0; i < row.silent; ++i) {
        const int domain = row.place == SilentPlace::InOneDomain ? 0 : i % row.domains;
        run.silence(i,
                    row.place == SilentPlace::InOwnDomain ? "silent" : PathRun::domainName(domain));
    }
    return run;
}

const auto none = [](const UpstreamEntry &) { return false; };
const auto every = [](const UpstreamEntry &) { return true; };

} // namespace

TEST_CASE("the path is cut when no upstream of several failure domains is reached")
{
    struct Row
    {
        int upstreams;
        int domains;
        Millis delay;
    };
    for (const Row &row : {Row{12, 3, Millis(0)}, Row{12, 3, Millis(400)}, Row{3, 1, Millis(400)},
                           Row{1, 1, Millis(400)}, Row{3000, 5, Millis(400)}}) {
        CAPTURE(row.upstreams);
        PathRun run(row.upstreams, row.domains);
        run.path.connectFailed(run.all.begin()->second->entry, run.now);
        run.run(row.delay + Millis(100), row.delay, none);
        CHECK(run.path.isCut());
        CHECK(run.probes <= 4);
    }
}

// Upstreams that ended, of whatever number, must not look like a fault of the instance.
TEST_CASE("the path stays sound while any other upstream is reached")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        PathRun run(12, 3, seed);
        const auto onlyDomainC = [](const UpstreamEntry &entry) {
            return entry.failureDomain == "c";
        };
        for (int i = 0; i < 20; ++i) {
            for (const auto &[id, upstream] : run.all) {
                if (upstream->entry.failureDomain != "c")
                    run.path.connectFailed(upstream->entry, run.now);
                if (run.path.state() == PathState::Doubted)
                    break;
            }
            run.run(Millis(500), Millis(100), onlyDomainC);
            CHECK_FALSE(run.path.isCut());
        }
    }
}

// A sound upstream may be silent for a second or so.
TEST_CASE("silence of waiting requests alone never cuts the path")
{
    PathRun run(6, 2);
    for (int i = 0; i < 10; ++i) {
        run.path.requestSent(run.now);
        run.run(Millis(1500), Millis(1), every);
        CHECK(run.path.state() == PathState::Sound);
        run.path.progressed();
    }
    CHECK(run.probes <= 10);
}

TEST_CASE("silence with no upstream that can be reached cuts the path within two seconds")
{
    PathRun run(6, 2);
    run.path.requestSent(run.now);
    run.run(Millis(2000), Millis(400), none);
    CHECK(run.path.isCut());
}

// Hints of idle connections cost one connection at a time, and are no proof either.
TEST_CASE("a hint at a cut makes one upstream be probed, and only failures cut the path")
{
    PathRun run(6, 2);
    for (int i = 0; i < 120; ++i) {
        run.path.idleSilent();
        run.run(Millis(500), Millis(1), every);
        CHECK(run.path.state() == PathState::Sound);
    }
    CHECK(run.probes <= 31);
    run.run(Millis(2000), Millis(1), every);
    run.path.idleSilent();
    run.run(Millis(700), Millis(250), none);
    CHECK(run.path.isCut());
}

// Upstreams that return one by one, or for a moment, must not swing the instance to and fro.
TEST_CASE("a cut ends after trials in a row, more of them after a relapse, at a bounded rate")
{
    PathRun run(12, 3);
    const auto cut = [&] {
        run.path.connectFailed(run.all.begin()->second->entry, run.now);
        run.run(Millis(1600), Millis(400), none);
        REQUIRE(run.path.isCut());
    };
    cut();
    run.probes = 0;
    run.run(Millis::seconds(30), Millis(400), none);
    CHECK(run.path.isCut());
    CHECK(run.probes <= 60);
    run.run(Millis::seconds(30), Millis(1),
            [](const UpstreamEntry &entry) { return entry.id == "u-3"; });
    CHECK(run.path.isCut());
    run.probes = 0;
    run.run(Millis(1500), Millis(1), every);
    CHECK_FALSE(run.path.isCut());
    CHECK(run.probes <= int(UpstreamPath::minTrials) + 1);
    cut();
    run.probes = 0;
    run.run(Millis(1500), Millis(1), every);
    CHECK_FALSE(run.path.isCut());
    CHECK(run.probes >= int(UpstreamPath::minTrials) * 2);
}

// An entry at whose address nothing answers must not keep the instance from all other upstreams.
TEST_CASE("a cut ends although some upstreams are never reached, also after relapses")
{
    struct Start
    {
        bool hasMetSilent;
        Millis bound;
    };
    // An instance that starts during the outage has the time that all upstreams have to recover.
    const std::vector<Start> starts{{true, Millis::seconds(3)}, {false, Millis::seconds(12)}};
    for (const SilentCase &row : silentCases()) {
        for (const Start &start : starts) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                CAPTURE(row.upstreams);
                CAPTURE(row.silent);
                CAPTURE(row.domains);
                CAPTURE(static_cast<int>(row.place));
                CAPTURE(row.delay.count());
                CAPTURE(start.hasMetSilent);
                CAPTURE(seed);
                PathRun run = makeRun(row, seed);
                if (start.hasMetSilent)
                    run.meetSilent(row.delay);
                for (int outage = 0; outage < 3; ++outage) {
                    CAPTURE(outage);
                    const auto last = "u-" + std::to_string(row.upstreams - 1);
                    run.path.connectFailed(run.all.at(last)->entry, run.now);
                    run.run(Millis(2500), row.delay, none);
                    CHECK(run.path.isCut());
                    run.run(start.bound, row.delay, run.reached());
                    CHECK_FALSE(run.path.isCut());
                    run.run(Millis(1000), row.delay, run.reached());
                    CHECK_FALSE(run.path.isCut());
                }
            }
        }
    }
}

// Silent upstreams must not delay the moment from which peers serve the instance's callers.
TEST_CASE("the path is cut as soon as ever when some upstreams were never reached")
{
    for (const SilentCase &row : silentCases()) {
        for (const bool hasMetSilent : {true, false}) {
            CAPTURE(row.upstreams);
            CAPTURE(row.silent);
            CAPTURE(row.domains);
            CAPTURE(static_cast<int>(row.place));
            CAPTURE(row.delay.count());
            CAPTURE(hasMetSilent);
            PathRun run = makeRun(row, 1);
            if (hasMetSilent)
                run.meetSilent(row.delay);
            run.run(UpstreamPath::doubtInterval, row.delay, run.reached());
            const auto last = "u-" + std::to_string(row.upstreams - 1);
            run.path.connectFailed(run.all.at(last)->entry, run.now);
            run.run(row.delay + Millis(100), row.delay, none);
            CHECK(run.path.isCut());
        }
    }
}

// Requests that are sent to a silent upstream must neither cut the path nor cost probes each time.
TEST_CASE("an upstream that is never reached does not cast doubt on the path again")
{
    for (const SilentCase &row : silentCases()) {
        CAPTURE(row.upstreams);
        CAPTURE(row.silent);
        CAPTURE(row.domains);
        CAPTURE(static_cast<int>(row.place));
        CAPTURE(row.delay.count());
        PathRun run = makeRun(row, 1);
        run.meetSilent(row.delay);
        run.probes = 0;
        for (int i = 0; i < 100; ++i) {
            for (const std::string &id : run.silent)
                run.path.connectFailed(run.all.at(id)->entry, run.now);
            CHECK(run.path.state() == PathState::Sound);
            run.run(Millis(100), row.delay, run.reached());
        }
        CHECK(run.probes <= 10);
    }
}

// An upstream whose connections were refused for a while must not count as ended in a cut.
TEST_CASE("the failure of an upstream that held a request's connection casts doubt on the path")
{
    PathRun run(6, 2);
    run.connectTime = Millis(1);
    run.silence(0, "a");
    run.meetSilent(Millis(0));
    const UpstreamEntry &upstream = run.all.at("u-0")->entry;
    run.path.connectFailed(upstream, run.now);
    CHECK(run.path.state() == PathState::Sound);
    run.path.heldConnection(upstream);
    run.path.connectFailed(upstream, run.now);
    CHECK(run.path.state() == PathState::Doubted);
}
