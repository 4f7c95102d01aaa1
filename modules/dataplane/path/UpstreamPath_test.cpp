#include <doctest/doctest.h>

#include "dataplane/path/UpstreamPath.h"

#include <functional>

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
            record->entry.failureDomain = std::string(1, static_cast<char>('a' + i % domains));
            all[record->entry.id] = record;
        }
    }

    /** Probes for a time; the outcome of each probe is known after a delay. */
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
                pending.emplace(now + delay, upstream);
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
    std::multimap<Millis, UpstreamPointer> pending;
    Millis now = Millis(1000);
    int probes = 0;
};

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
