#include <doctest/doctest.h>

#include "feeds/testing/FeedCluster.h"

#include <set>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

/** Upstreams say that they leave, one after another, while the store turns a third away. */
class Leaving
{
public:
    static constexpr Millis each = Millis(150);
    static constexpr int atOnce = 3;
    static constexpr Millis span = Millis::seconds(8);

    Leaving(std::size_t domains, std::size_t inEach, std::uint64_t seed)
        : cluster_(domains, inEach, true, seed), random_(seededRandom(seed))
    {
        cluster_.linkBytesPerMilli = slowLink;
        cluster_.scheduler.runFor(Millis::seconds(6));
    }

    /** Also turns away the instances that a test names. */
    void turnAway(std::set<std::size_t> named, bool isSilent)
    {
        turnedAway_ = std::move(named);
        const std::size_t count = cluster_.instances.size();
        while (turnedAway_.size() < count / 3)
            turnedAway_.insert(random_() % count);
        if (!isSilent) {
            cluster_.refused = turnedAway_;
            return;
        }
        cluster_.network.setHook([this](const FakeMessage &message) {
            const std::size_t index = std::stoul(message.process.substr(2));
            return MessageFate{turnedAway_.count(index) > 0, Millis(0)};
        });
    }

    void loseHeartbeats(unsigned percent)
    {
        cluster_.isLost = [this, percent](std::size_t, std::size_t) {
            return random_() % 100 < percent;
        };
    }

    /** Returns the longest that any instance did not know of a change. */
    Millis worstDelay()
    {
        Millis worst;
        std::map<std::string, Millis> open;
        int written = 0;
        const Millis end = cluster_.scheduler.now() + span;
        Millis nextAt = cluster_.scheduler.now();
        while (cluster_.scheduler.now() < end || !open.empty()) {
            const Millis now = cluster_.scheduler.now();
            if (now >= nextAt && now < end) {
                for (int i = 0; i < atOnce; ++i) {
                    const std::string path = "upstreams/u-" + std::to_string(written++ % 160);
                    cluster_.store.write(path, entry(written));
                    open[path] = now;
                }
                // What else is written raises the store's revision for everybody.
                cluster_.store.write("ledgers/any", std::to_string(written));
                nextAt = now + each;
            }
            cluster_.scheduler.runFor(Millis(25));
            for (auto it = open.begin(); it != open.end();) {
                worst = std::max(worst, cluster_.scheduler.now() - it->second);
                it = cluster_.unaware(it->first) == 0 ? open.erase(it) : std::next(it);
            }
            if (worst > allowance * 3)
                break;
        }
        return worst;
    }

private:
    /** 10 Mbit/s. */
    static constexpr std::size_t slowLink = 1250;

    static std::string entry(int number)
    {
        std::string text = "leaving " + std::to_string(number);
        for (int i = 0; i < 12; ++i)
            text +=
                ",\"field-of-an-entry-" + std::to_string(i) + "\":" + std::to_string(number * i);
        return text;
    }

    FeedCluster cluster_;
    RandomHook random_;
    std::set<std::size_t> turnedAway_;
};

/** What is left of the allowance serves the way of a request that was placed just before. */
constexpr Millis bound = allowance * 3 / 4;
/** Where the store says at once that it refuses the watchers. */
constexpr Millis quick = allowance / 2;

} // namespace

// Guards against work for upstreams that left: the store turns the watchers away, and the instance
// that takes their place does not get its news to the others in time.
TEST_CASE("all know of leaving upstreams in time while the store turns a third of them away")
{
    struct Row
    {
        std::size_t domains;
        std::size_t each;
        std::set<std::size_t> watchers;
        bool isSilent;
        unsigned lostPercent;
        Millis most;
    };
    for (const Row &row :
         {Row{3, 25, {}, false, 0, quick}, Row{3, 25, {0, 1}, false, 0, quick},
          Row{3, 25, {0, 1, 2}, false, 0, quick}, Row{3, 25, {0, 1, 2, 3}, false, 10, bound},
          Row{3, 100, {0, 1, 100, 101}, false, 5, bound}, Row{3, 25, {}, true, 0, bound},
          Row{3, 25, {0, 1, 2}, true, 0, bound}, Row{3, 25, {0, 1, 2, 3}, true, 10, bound},
          Row{3, 100, {0, 1, 100, 101}, true, 5, bound}}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(row.each);
            CAPTURE(row.watchers.size());
            CAPTURE(row.isSilent);
            CAPTURE(seed);
            Leaving leaving(row.domains, row.each, seed);
            leaving.loseHeartbeats(row.lostPercent);
            leaving.turnAway(row.watchers, row.isSilent);
            CHECK(leaving.worstDelay() <= row.most);
        }
    }
}
