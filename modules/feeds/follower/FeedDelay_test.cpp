#include <doctest/doctest.h>

#include "feeds/testing/FeedCluster.h"

#include <set>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

/**
    Upstreams announce that they leave, one after another, while the store refuses a third of the
    instances.
*/
class LeavingUpstreams
{
public:
    static constexpr Millis writeInterval = Millis(150);
    static constexpr int writesPerBatch = 3;
    static constexpr Millis span = Millis::seconds(8);

    LeavingUpstreams(std::size_t domains, std::size_t instancesPerDomain, std::uint64_t seed)
        : cluster_(domains, instancesPerDomain, true, seed), random_(seededRandom(seed))
    {
        cluster_.linkCapacityBytesPerMs = linkBytesPerMs;
        cluster_.scheduler.runFor(Millis::seconds(6));
    }

    /** Makes the store refuse the named instances and random others, up to a third of all. */
    void refuseInstances(std::set<std::size_t> named, bool isSilent)
    {
        refusedInstances_ = std::move(named);
        const std::size_t count = cluster_.instances.size();
        while (refusedInstances_.size() < count / 3)
            refusedInstances_.insert(random_() % count);
        if (!isSilent) {
            cluster_.refusedInstances = refusedInstances_;
            return;
        }
        cluster_.network.setHook([this](const FakeMessage &message) {
            const std::size_t index = std::stoul(message.process.substr(2));
            return MessageFate{refusedInstances_.count(index) > 0, Millis(0)};
        });
    }

    void loseMessages(unsigned percent)
    {
        cluster_.isLost = [this, percent](std::size_t, std::size_t) {
            return random_() % 100 < percent;
        };
    }

    /** Returns the longest time that a change stayed unknown to any instance. */
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
                for (int i = 0; i < writesPerBatch; ++i) {
                    const std::string path = "upstreams/u-" + std::to_string(written++ % 160);
                    cluster_.store.write(path, entry(written));
                    open[path] = now;
                }
                // Writes elsewhere raise the store's revision for every instance.
                cluster_.store.write("ledgers/any", std::to_string(written));
                nextAt = now + writeInterval;
            }
            cluster_.scheduler.runFor(Millis(25));
            for (auto it = open.begin(); it != open.end();) {
                worst = std::max(worst, cluster_.scheduler.now() - it->second);
                it = cluster_.countUnaware(it->first) == 0 ? open.erase(it) : std::next(it);
            }
            if (worst > maxDelay * 3)
                break;
        }
        return worst;
    }

private:
    /** 10 Mbit/s. */
    static constexpr std::size_t linkBytesPerMs = 1250;

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
    std::set<std::size_t> refusedInstances_;
};

/** The rest of the permitted delay covers a request that was placed just before. */
constexpr Millis bound = maxDelay * 3 / 4;
/** Bound where the store refuses the watchers at once. */
constexpr Millis quickBound = maxDelay / 2;

} // namespace

// Guards against requests to upstreams that have left: the store refuses the watchers, and the
// substitute does not distribute its updates in time.
TEST_CASE("all learn of leaving upstreams in time while the store refuses a third of the instances")
{
    struct Row
    {
        std::size_t domains;
        std::size_t instancesPerDomain;
        std::set<std::size_t> watchers;
        bool isSilent;
        unsigned lostPercent;
        Millis limit;
    };
    for (const Row &row :
         {Row{3, 25, {}, false, 0, quickBound}, Row{3, 25, {0, 1}, false, 0, quickBound},
          Row{3, 25, {0, 1, 2}, false, 0, quickBound}, Row{3, 25, {0, 1, 2, 3}, false, 10, bound},
          Row{3, 100, {0, 1, 100, 101}, false, 5, bound}, Row{3, 25, {}, true, 0, bound},
          Row{3, 25, {0, 1, 2}, true, 0, bound}, Row{3, 25, {0, 1, 2, 3}, true, 10, bound},
          Row{3, 100, {0, 1, 100, 101}, true, 5, bound}}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(row.instancesPerDomain);
            CAPTURE(row.watchers.size());
            CAPTURE(row.isSilent);
            CAPTURE(seed);
            LeavingUpstreams upstreams(row.domains, row.instancesPerDomain, seed);
            upstreams.loseMessages(row.lostPercent);
            upstreams.refuseInstances(row.watchers, row.isSilent);
            CHECK(upstreams.worstDelay() <= row.limit);
        }
    }
}
