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
    Simulated instances in virtual time that share customer quotas over links whose frames a test
    delays, drops or blocks. Records all requests that ran, over all instances.
*/
class QuotaCluster : public FrameNetwork
{
public:
    QuotaCluster(int count, QuotaTolerance tolerance, QuotaTable quotas, std::uint64_t seed)
        : FrameNetwork(seed), count_(count), tolerance_(tolerance), quotas_(std::move(quotas))
    {
        for (int i = 0; i < count; ++i)
            start(i);
        advance(settleTime);
    }

    /** Starts an instance, or restarts it without its state. */
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

    /** A request arrives at an instance. It runs at the moment of its grant. */
    void request(int i, const std::string &customer, double cost)
    {
        if (!isRunning(i))
            return;
        offered += cost;
        at(i).acquire(customer, cost, [this, cost](const QuotaOutcome &outcome) {
            ++results[static_cast<std::size_t>(outcome.result)];
            if (outcome.result != QuotaResult::Granted)
                return;
            ran += cost;
            runs.emplace_back(now, cost);
        });
    }

    /** Advances the time in steps and delivers frames that are due. */
    void advance(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + step;
            deliver([this](int to, const PeerAddress &from, const std::string &frame) {
                at(to).handleFrame(from, frame);
            });
            for (int i = 0; i < count_; ++i) {
                if (isRunning(i))
                    at(i).tick();
            }
            if (now >= nextReachabilityAt_)
                updateReachability();
        }
    }

    /** Returns the greatest cost that ran within one window of the tolerance. */
    double busiestWindow() const
    {
        double maxSum = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &[at, cost] : runs) {
            sum += cost;
            while (at - runs[first].first > tolerance_.window)
                sum -= runs[first++].second;
            maxSum = std::max(maxSum, sum);
        }
        return maxSum;
    }

    /** Returns what quota and tolerance allow in a window. */
    double allowed(const std::string &customer) const
    {
        const CustomerQuota &quota = quotas_.at(customer);
        return quota.perSecond * tolerance_.window.toSeconds() + quota.burst + tolerance_.of(quota);
    }

    QuotaExchange &at(int i) { return *instances_[static_cast<std::size_t>(i)]; }
    /** Returns the primary owner of a customer's bucket. */
    int ownerOf(const std::string &customer) const
    {
        return numberOf(ranking().primaryOwnerOf(StableHash().add(customer).value()));
    }

    /** Returns an instance that is not an owner. */
    int nonOwner() const
    {
        const std::vector<PeerAddress> owners = ranking().addresses();
        int i = 0;
        while (std::find(owners.begin(), owners.end(), nameOf(i)) != owners.end())
            ++i;
        return i;
    }

    double offered = 0;
    double ran = 0;
    std::array<int, 3> results{};
    std::vector<std::pair<Millis, double>> runs;

private:
    static constexpr Millis step = Millis(5);
    static constexpr Millis settleTime = Millis::seconds(10);
    /** A blocked link is detected and closed within this time. */
    static constexpr Millis linkTimeout = Millis(5000);

    /** The ranking with an address for every instance. */
    OwnerRanking ranking() const
    {
        std::vector<OwnerCandidate> peers;
        peers.reserve(static_cast<std::size_t>(count_));
        for (int i = 0; i < count_; ++i)
            peers.push_back({InstanceId(nameOf(i)), nameOf(i)});
        OwnerRanking ranking;
        ranking.setPeers(std::move(peers));
        return ranking;
    }

    void updateReachability()
    {
        nextReachabilityAt_ = now + Millis::seconds(1);
        for (int i = 0; i < count_; ++i) {
            int linked = 0;
            for (int other = 0; other < count_; ++other) {
                const bool isUnreachable =
                    dead.count(other) > 0 || isCut(i, other) || isCut(other, i);
                Millis &since = unreachableSince_[{i, other}];
                since = isUnreachable ? (since == Millis() ? now : since) : Millis();
                linked += since == Millis() || now - since < linkTimeout ? 1 : 0;
            }
            at(i).setReachableShare(static_cast<double>(linked) / count_);
        }
    }

    int count_;
    QuotaTolerance tolerance_;
    QuotaTable quotas_;
    std::vector<std::unique_ptr<QuotaExchange>> instances_;
    std::map<std::pair<int, int>, Millis> unreachableSince_;
    Millis nextReachabilityAt_;
};

} // namespace cuminrail::testing
