#pragma once

#include "core/hash/StableHash.h"
#include "core/random/Random.h"
#include "quotas/quotas.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminrail::testing {

/**
    Instances in virtual time that share customers' quotas, over links that a test delays, loses and
    cuts; and a judge that knows all that ran.
*/
class QuotaCluster
{
public:
    QuotaCluster(int count, QuotaTolerance tolerance, QuotaTable quotas, std::uint64_t seed)
        : count_(count), tolerance_(tolerance), quotas_(std::move(quotas)),
          random_(seededRandom(seed))
    {
        for (int i = 0; i < count; ++i)
            start(i);
        pass(settling);
    }

    /** Starts an instance, or starts it again with nothing in its memory. */
    void start(int i)
    {
        PeerTransport transport;
        transport.send = [this, i](const PeerAddress &to, std::string frame) {
            post(i, numberOf(to), std::move(frame));
        };
        if (i >= static_cast<int>(instances_.size()))
            instances_.resize(static_cast<std::size_t>(i) + 1);
        dead.erase(i);
        instances_[static_cast<std::size_t>(i)] =
            std::make_unique<QuotaExchange>(tolerance_, transport, Clock([this] { return now; }));
        std::vector<KeeperCandidate> peers{{InstanceId(name(i)), {}}};
        for (int other = 0; other < count_; ++other) {
            if (other != i)
                peers.push_back({InstanceId(name(other)), name(other)});
        }
        at(i).setQuotas(quotas_);
        at(i).setPeers(std::move(peers));
    }

    void setQuotas(const QuotaTable &quotas)
    {
        quotas_ = quotas;
        for (int i = 0; i < count_; ++i)
            at(i).setQuotas(quotas);
    }

    /** A request arrives; it runs at the moment at which it is granted. */
    void request(int i, const std::string &customer, double cost)
    {
        if (dead.count(i) > 0 || frozen.count(i) > 0)
            return;
        offered += cost;
        at(i).ask(customer, cost, [this, cost](const QuotaVerdict &verdict) {
            ++results[static_cast<std::size_t>(verdict.result)];
            if (verdict.result != QuotaResult::Granted)
                return;
            ran += cost;
            runs.emplace_back(now, cost);
        });
    }

    /** Time passes in steps; messages arrive on the way. */
    void pass(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + step;
            deliver();
            for (int i = 0; i < count_; ++i) {
                if (dead.count(i) == 0 && frozen.count(i) == 0)
                    at(i).tick();
            }
            if (now >= nextReach_)
                tellReach();
        }
    }

    /** Returns the most that ran within one window of the tolerance. */
    double busiestWindow() const
    {
        double most = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &[at, cost] : runs) {
            sum += cost;
            while (at - runs[first].first > tolerance_.window)
                sum -= runs[first++].second;
            most = std::max(most, sum);
        }
        return most;
    }

    /** Returns what the rule allows in a window. */
    double allowed(const std::string &customer) const
    {
        const CustomerQuota &quota = quotas_.at(customer);
        return quota.perSecond * tolerance_.window.toSeconds() + quota.burst + tolerance_.of(quota);
    }

    QuotaExchange &at(int i) { return *instances_[static_cast<std::size_t>(i)]; }
    int pick(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
    /** Returns which instance usually keeps a customer's bucket. */
    int keeperOf(const std::string &customer) const
    {
        return numberOf(ranking().firstOf(StableHash().add(customer).value()));
    }

    /** Returns an instance that keeps no buckets. */
    int asker() const
    {
        const std::vector<PeerAddress> keepers = ranking().addresses();
        int i = 0;
        while (std::find(keepers.begin(), keepers.end(), name(i)) != keepers.end())
            ++i;
        return i;
    }

    Millis now = Millis(100000);
    std::set<int> dead;
    /** Takes in nothing and sends nothing until it is taken out again. */
    std::set<int> frozen;
    /** Whether a frame from one instance to another one is lost. */
    std::function<bool(int from, int to)> isCut = [](int, int) { return false; };
    int lossPercent = 0;
    Millis delayMost = Millis(4);
    double offered = 0;
    double ran = 0;
    std::array<int, 3> results{};
    std::vector<std::pair<Millis, double>> runs;

private:
    static constexpr Millis step = Millis(5);
    static constexpr Millis settling = Millis::seconds(10);
    /** A link that a cut silenced is found out and closed by then. */
    static constexpr Millis silentLink = Millis(5000);

    struct Frame
    {
        int from = 0;
        int to = 0;
        std::string bytes;
        Millis at;
    };

    static std::string name(int i) { return "i-" + std::to_string(i); }
    static int numberOf(const PeerAddress &address) { return std::stoi(address.substr(2)); }

    /** The ranking as somebody outside sees it. */
    KeeperRanking ranking() const
    {
        std::vector<KeeperCandidate> peers;
        peers.reserve(static_cast<std::size_t>(count_));
        for (int i = 0; i < count_; ++i)
            peers.push_back({InstanceId(name(i)), name(i)});
        KeeperRanking ranking;
        ranking.setPeers(std::move(peers));
        return ranking;
    }

    void post(int from, int to, std::string frame)
    {
        if (dead.count(from) > 0 || dead.count(to) > 0 || isCut(from, to)
            || pick(100) < lossPercent)
            return;
        const Millis at = now + Millis(1 + pick(static_cast<int>(delayMost.count())));
        frames_.push_back({from, to, std::move(frame), at});
    }

    void deliver()
    {
        std::deque<Frame> later;
        std::deque<Frame> due;
        for (Frame &frame : frames_)
            (frame.at <= now && frozen.count(frame.to) == 0 ? due : later)
                .push_back(std::move(frame));
        frames_ = std::move(later);
        for (const Frame &frame : due) {
            if (dead.count(frame.to) == 0)
                at(frame.to).received(name(frame.from), frame.bytes);
        }
    }

    void tellReach()
    {
        nextReach_ = now + Millis::seconds(1);
        for (int i = 0; i < count_; ++i) {
            int linked = 0;
            for (int other = 0; other < count_; ++other) {
                const bool isGone = dead.count(other) > 0 || isCut(i, other) || isCut(other, i);
                Millis &since = goneSince_[{i, other}];
                since = isGone ? (since == Millis() ? now : since) : Millis();
                linked += since == Millis() || now - since < silentLink ? 1 : 0;
            }
            at(i).setReach(static_cast<double>(linked) / count_);
        }
    }

    int count_;
    QuotaTolerance tolerance_;
    QuotaTable quotas_;
    RandomHook random_;
    std::vector<std::unique_ptr<QuotaExchange>> instances_;
    std::deque<Frame> frames_;
    std::map<std::pair<int, int>, Millis> goneSince_;
    Millis nextReach_;
};

} // namespace cuminrail::testing
