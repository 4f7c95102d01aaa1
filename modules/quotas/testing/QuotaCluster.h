#pragma once

#include "core/hash/StableHash.h"
#include "keepers/testing/FrameNetwork.h"
#include "quotas/quotas.h"

#include <algorithm>
#include <array>
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
class QuotaCluster : public FrameNetwork
{
public:
    QuotaCluster(int count, QuotaTolerance tolerance, QuotaTable quotas, std::uint64_t seed)
        : FrameNetwork(seed), count_(count), tolerance_(tolerance), quotas_(std::move(quotas))
    {
        for (int i = 0; i < count; ++i)
            start(i);
        pass(settling);
    }

    /** Starts an instance, or starts it again with nothing in its memory. */
    void start(int i)
    {
        if (i >= static_cast<int>(instances_.size()))
            instances_.resize(static_cast<std::size_t>(i) + 1);
        dead.erase(i);
        instances_[static_cast<std::size_t>(i)] = std::make_unique<QuotaExchange>(
            tolerance_, transportOf(i), Clock([this] { return now; }));
        at(i).setQuotas(quotas_);
        at(i).setPeers(peersOf(i, count_));
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
        if (!isRunning(i))
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
            deliver([this](int to, const PeerAddress &from, const std::string &frame) {
                at(to).received(from, frame);
            });
            for (int i = 0; i < count_; ++i) {
                if (isRunning(i))
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
        while (std::find(keepers.begin(), keepers.end(), nameOf(i)) != keepers.end())
            ++i;
        return i;
    }

    double offered = 0;
    double ran = 0;
    std::array<int, 3> results{};
    std::vector<std::pair<Millis, double>> runs;

private:
    static constexpr Millis step = Millis(5);
    static constexpr Millis settling = Millis::seconds(10);
    /** A link that a cut silenced is found out and closed by then. */
    static constexpr Millis silentLink = Millis(5000);

    /** The ranking as somebody outside sees it. */
    KeeperRanking ranking() const
    {
        std::vector<KeeperCandidate> peers;
        peers.reserve(static_cast<std::size_t>(count_));
        for (int i = 0; i < count_; ++i)
            peers.push_back({InstanceId(nameOf(i)), nameOf(i)});
        KeeperRanking ranking;
        ranking.setPeers(std::move(peers));
        return ranking;
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
    std::vector<std::unique_ptr<QuotaExchange>> instances_;
    std::map<std::pair<int, int>, Millis> goneSince_;
    Millis nextReach_;
};

} // namespace cuminrail::testing
