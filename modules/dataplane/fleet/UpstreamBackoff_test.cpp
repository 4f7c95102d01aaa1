#include <doctest/doctest.h>

#include "core/random/Random.h"
#include "dataplane/fleet/UpstreamBackoff.h"

#include <algorithm>
#include <deque>
#include <vector>

using namespace cuminrail;

namespace {

constexpr UpstreamIncarnation upstream = 1;

/**
    Instances that send requests to upstreams which refuse above their capacity and ask for a pause,
    in virtual time. Each instance sends to the least loaded upstream that does not pause for it.
*/
class RefusingFleet
{
public:
    RefusingFleet(int instances, int upstreams, double perSecond, Millis pause, std::uint64_t seed)
        : backoffs_(static_cast<std::size_t>(instances)), perSecond_(perSecond), pause_(pause),
          random_(seededRandom(seed)), served_(static_cast<std::size_t>(upstreams))
    { }

    /** Sends requests at a rate over all instances; each is tried at two upstreams at most. */
    void sendTraffic(int requestsPerSecond, Millis span)
    {
        const Millis end = now_ + span;
        while (now_ < end) {
            now_ += Millis(1);
            respond();
            for (int i = 0; i < requestsPerSecond; ++i) {
                if (random_() % 1000 == 0)
                    place(random_() % backoffs_.size());
            }
        }
    }

    /** Returns the most requests of one instance at an upstream within one pause of it. */
    int maxWithinPause() const
    {
        int most = 0;
        for (const Refusal &refusal : refusals_) {
            const Millis from = refusal.at + Millis(500);
            const Millis to = refusal.at + pause_;
            most = std::max(most,
                            static_cast<int>(std::count_if(
                                arrivals_.begin(), arrivals_.end(), [&](const Refusal &each) {
                                    return each.instance == refusal.instance
                                        && each.upstream == refusal.upstream && each.at >= from
                                        && each.at < to;
                                })));
        }
        return most;
    }

    int requested = 0;
    int served = 0;

private:
    struct Refusal
    {
        std::size_t instance = 0;
        std::size_t upstream = 0;
        Millis at;
    };
    struct Run
    {
        std::size_t instance = 0;
        std::size_t upstream = 0;
        Millis endsAt;
    };

    void place(std::size_t instance)
    {
        ++requested;
        constexpr int maxAttempts = 2;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            std::vector<std::size_t> usable;
            for (std::size_t i = 0; i < served_.size(); ++i) {
                if (!backoffs_[instance].remaining(i, now_))
                    usable.push_back(i);
            }
            if (usable.empty())
                return;
            const auto best = std::min_element(usable.begin(), usable.end(),
                                               [this](std::size_t a, std::size_t b) {
                                                   return served_[a].size() < served_[b].size();
                                               });
            if (send(instance, *best))
                return;
        }
    }

    /** Returns true unless the upstream refuses. */
    bool send(std::size_t instance, std::size_t target)
    {
        UpstreamBackoff &backoff = backoffs_[instance];
        backoff.started(target, now_);
        arrivals_.push_back({instance, target, now_});
        std::deque<Millis> &recent = served_[target];
        if (static_cast<double>(recent.size()) >= perSecond_) {
            backoff.request(target, pause_, now_);
            refusals_.push_back({instance, target, now_});
            return false;
        }
        recent.push_back(now_);
        ++served;
        runs_.push_back({instance, target, now_ + Millis(80)});
        return true;
    }

    void respond()
    {
        for (std::deque<Millis> &recent : served_) {
            while (!recent.empty() && now_ - recent.front() >= Millis(1000))
                recent.pop_front();
        }
        while (!runs_.empty() && runs_.front().endsAt <= now_) {
            backoffs_[runs_.front().instance].responded(runs_.front().upstream, now_);
            runs_.pop_front();
        }
    }

    std::vector<UpstreamBackoff> backoffs_;
    double perSecond_;
    Millis pause_;
    RandomHook random_;
    std::vector<std::deque<Millis>> served_;
    std::vector<Refusal> arrivals_;
    std::vector<Refusal> refusals_;
    std::deque<Run> runs_;
    Millis now_ = Millis(1000);
};

} // namespace

// Guards against requests sent to an upstream that asked for none.
TEST_CASE("nothing is sent during a pause, and one request after it until that has a response")
{
    UpstreamBackoff backoff;
    CHECK_FALSE(backoff.remaining(upstream, Millis(0)));
    CHECK(backoff.request(upstream, Millis(3000), Millis(1000)));
    CHECK(backoff.remaining(upstream, Millis(1000)) == Millis(3000));
    CHECK(backoff.remaining(upstream, Millis(3999)) == Millis(1));
    CHECK_FALSE(backoff.remaining(upstream + 1, Millis(2000)));
    CHECK_FALSE(backoff.remaining(upstream, Millis(4000)));
    backoff.started(upstream, Millis(4000));
    CHECK(backoff.remaining(upstream, Millis(4100)));
    backoff.responded(upstream, Millis(4200));
    CHECK_FALSE(backoff.remaining(upstream, Millis(4200)));
    CHECK_FALSE(backoff.isActive());
}

// Guards against a pause that ends early, and an upstream that is left unused for good.
TEST_CASE("what else happens during and after a pause")
{
    struct Row
    {
        const char *name;
        std::function<void(UpstreamBackoff &)> event;
        Millis at;
        bool maySend;
    };
    const auto ask = [](Millis pause, Millis at) {
        return [pause, at](UpstreamBackoff &backoff) { backoff.request(upstream, pause, at); };
    };
    for (const Row &row : {
             Row{"a shorter pause asked for later", ask(Millis(100), Millis(1500)), Millis(3999),
                 false},
             Row{"a longer one", ask(Millis(5000), Millis(1500)), Millis(6000), false},
             Row{"none", ask(Millis(0), Millis(1500)), Millis(3999), false},
             Row{"a late response to an earlier request",
                 [](UpstreamBackoff &backoff) { backoff.responded(upstream, Millis(1500)); },
                 Millis(3999), false},
             Row{"an earlier request that broke off",
                 [](UpstreamBackoff &backoff) { backoff.aborted(upstream, Millis(1500)); },
                 Millis(3999), false},
             Row{"a trial without a response",
                 [](UpstreamBackoff &backoff) { backoff.started(upstream, Millis(4000)); },
                 Millis(4000) + UpstreamBackoff::trialTimeout, true},
             Row{"a trial that broke off",
                 [](UpstreamBackoff &backoff) {
                     backoff.started(upstream, Millis(4000));
                     backoff.aborted(upstream, Millis(4010));
                 },
                 Millis(4010), true},
             Row{"a trial that is refused",
                 [](UpstreamBackoff &backoff) {
                     backoff.started(upstream, Millis(4000));
                     backoff.request(upstream, Millis(1000), Millis(4010));
                 },
                 Millis(5009), false},
             Row{"a refused trial, after its pause",
                 [](UpstreamBackoff &backoff) {
                     backoff.started(upstream, Millis(4000));
                     backoff.request(upstream, Millis(1000), Millis(4010));
                 },
                 Millis(5010), true},
             Row{"an absurd pause", ask(Millis::seconds(86400), Millis(1500)),
                 Millis(1500) + UpstreamBackoff::maxPause, true},
         }) {
        CAPTURE(std::string(row.name));
        UpstreamBackoff backoff;
        backoff.request(upstream, Millis(3000), Millis(1000));
        row.event(backoff);
        CHECK(backoff.remaining(upstream, row.at).has_value() != row.maySend);
    }
}

// Guards against a table that grows with each upstream that ever asked for a pause.
TEST_CASE("a pause that is long over is forgotten")
{
    UpstreamBackoff backoff;
    backoff.request(upstream, Millis(3000), Millis(1000));
    backoff.expire(Millis(4000));
    CHECK(backoff.isActive());
    backoff.expire(Millis(4000) + UpstreamBackoff::retention);
    CHECK_FALSE(backoff.isActive());
}

// Guards against pauses that are broken under load, and against a fleet that serves less than it
// could because all that waited returns at once.
TEST_CASE("a burst beyond what the upstreams take keeps to all pauses and is served at capacity")
{
    for (const int instances : {1, 6, 60}) {
        for (const Millis pause : {Millis(800), Millis(3000)}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                CAPTURE(instances);
                CAPTURE(pause.count());
                CAPTURE(seed);
                constexpr double perUpstream = 20;
                RefusingFleet fleet(instances, 6, perUpstream, pause, seed);
                fleet.sendTraffic(60, Millis(5000));
                const int before = fleet.served;
                CHECK(before == fleet.requested);
                fleet.sendTraffic(240, Millis(10000));
                CHECK(fleet.maxWithinPause() == 0);
                fleet.sendTraffic(60, pause * 2);
                const int requested = fleet.requested;
                const int served = fleet.served;
                fleet.sendTraffic(60, Millis(5000));
                CHECK(fleet.served - served == fleet.requested - requested);
            }
        }
    }
}
