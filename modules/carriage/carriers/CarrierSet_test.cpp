#include <doctest/doctest.h>

#include "carriage/carriers/CarrierSet.h"

#include <memory>
#include <utility>

using namespace cuminrail;

namespace {

constexpr Millis tickInterval(100);

/** Many instances in virtual time; links and replies take no time. */
class CarrierRun
{
public:
    CarrierRun(std::size_t instances, std::size_t domains)
    {
        for (std::size_t i = 0; i < instances; ++i) {
            candidates.push_back(
                {"10.0.0.1:" + std::to_string(10000 + i), "d-" + std::to_string(i % domains), 250});
        }
        isCut.assign(instances, false);
        isOld.assign(instances, false);
        linksTo.assign(instances, 0);
    }

    /** Adds the choice of carriers of a cut instance. */
    void cut(std::size_t index)
    {
        isCut[index] = true;
        CarrierSet::Hooks hooks;
        hooks.connect = [this](const PeerAddress &peer) {
            ++connects;
            ++linksTo[indexOf(peer)];
        };
        hooks.isLinked = [this](const PeerAddress &peer) { return !isOld[indexOf(peer)]; };
        hooks.query = [this, index](const PeerAddress &peer) {
            ++queries;
            pending.emplace_back(index, peer);
        };
        hooks.carried = [](const PeerAddress &) { return std::size_t(0); };
        sets[index] = std::make_unique<CarrierSet>(candidates[index].address,
                                                   candidates[index].failureDomain, hooks);
        std::vector<CarrierCandidate> others = candidates;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
        sets[index]->setCandidates(std::move(others));
    }

    void run(Millis duration)
    {
        for (const Millis end = now + duration; now < end; now += tickInterval) {
            for (auto &[index, set] : sets) {
                set->setWanted(true, now);
                set->tick(now);
            }
            for (const auto &[index, peer] : std::exchange(pending, {}))
                sets[index]->noteStatus(peer, !isCut[indexOf(peer)], now);
        }
    }

    std::size_t withCarrier() const
    {
        std::size_t count = 0;
        for (const auto &[index, set] : sets)
            count += set->choose({}).has_value() ? 1 : 0;
        return count;
    }

    static std::size_t indexOf(const PeerAddress &peer)
    {
        return std::stoul(peer.substr(peer.find(':') + 1)) - 10000;
    }

    std::vector<CarrierCandidate> candidates;
    std::vector<bool> isCut;
    /** Instances of a build that does not accept links for carried requests. */
    std::vector<bool> isOld;
    std::vector<std::size_t> linksTo;
    std::map<std::size_t, std::unique_ptr<CarrierSet>> sets;
    std::vector<std::pair<std::size_t, PeerAddress>> pending;
    std::size_t connects = 0;
    std::size_t queries = 0;
    Millis now = Millis(1000);
};

} // namespace

// A cut of a whole domain, or of half of all, must not leave the others unused or swamp a few.
TEST_CASE("cut instances find carriers and spread over all others, whatever the size")
{
    struct Row
    {
        std::size_t instances;
        std::size_t domains;
        /** Each instance of so many first domains is cut. */
        std::size_t cutDomains;
    };
    for (const Row &row : {Row{6, 3, 1}, Row{6, 3, 2}, Row{30, 3, 1}, Row{300, 5, 2},
                           Row{1000, 5, 1}, Row{1000, 2, 1}, Row{2000, 5, 1}}) {
        CAPTURE(row.instances);
        CAPTURE(row.cutDomains);
        CarrierRun run(row.instances, row.domains);
        for (std::size_t i = 0; i < row.instances; ++i) {
            if (i % row.domains < row.cutDomains)
                run.cut(i);
        }
        const std::size_t cut = run.sets.size();
        run.run(Millis(1500));
        CHECK(run.withCarrier() == cut);
        std::size_t mostLinks = 0;
        for (std::size_t i = 0; i < row.instances; ++i) {
            if (!run.isCut[i])
                mostLinks = std::max(mostLinks, run.linksTo[i]);
        }
        const double fairShare = double(CarrierSet::links * cut) / double(row.instances - cut);
        CHECK(double(mostLinks) <= fairShare * 2 + 12);
        run.queries = 0;
        run.run(Millis::seconds(10));
        CHECK(double(run.queries) / double(cut) / 10 <= double(CarrierSet::links) * 3);
    }
}

TEST_CASE("the only instance that is not cut is found")
{
    CarrierRun run(6, 3);
    for (std::size_t i = 0; i < 5; ++i)
        run.cut(i);
    run.run(Millis(1000));
    CHECK(run.withCarrier() == 5);
}

TEST_CASE("with all instances cut, the search ends and begins again at a bounded rate")
{
    CarrierRun run(1000, 5);
    for (std::size_t i = 0; i < 1000; i += 100)
        run.cut(i);
    std::fill(run.isCut.begin(), run.isCut.end(), true);
    run.run(Millis::seconds(10));
    CHECK(run.withCarrier() == 0);
    CHECK(double(run.queries) / 10 / 10 <= 100);
}

TEST_CASE("a carrier that was tried, closed or says no is not chosen")
{
    CarrierRun run(3, 1);
    run.cut(0);
    run.run(Millis(300));
    CarrierSet &set = *run.sets[0];
    const auto first = set.choose({});
    REQUIRE(first);
    const auto second = set.choose({*first});
    REQUIRE(second);
    CHECK_FALSE(set.choose({*first, *second}));
    set.noteStatus(*first, false, run.now);
    CHECK(set.choose({}) == second);
    set.noteClosed(*second, run.now);
    CHECK_FALSE(set.choose({}));
}

TEST_CASE("instances that accept no such links are passed over")
{
    CarrierRun run(20, 2);
    for (std::size_t i = 1; i < 20; ++i)
        run.isOld[i] = i % 5 != 0;
    run.cut(0);
    run.run(Millis(3500));
    CHECK(run.withCarrier() == 1);
}
