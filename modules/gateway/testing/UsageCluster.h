#pragma once

#include "gateway/usage/GatewayUsage.h"
#include "ports/testing/testing.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminrail::testing {

inline constexpr std::int64_t windowMillis = 5000;

/** Instances that count usage, one store, and a platform that receives reports. */
class UsageCluster
{
public:
    FakeScheduler scheduler;
    FakeNetwork network{scheduler};
    FakeObjectStore store{network};
    std::vector<FakeProcessPtr> processes;
    std::vector<std::unique_ptr<GatewayUsage>> duties;
    /** Index of the instance that may report, and its fence. */
    std::size_t holder = 0;
    std::uint64_t fence = 1;
    Millis heldSince;
    bool followsEarlierEra = false;
    bool isReportLost = false;
    /** Indices of the collectors. */
    std::vector<std::size_t> collectors;
    /** Ledgers are sent to collectors first, not only when the direct write fails. */
    bool isShared = false;
    std::map<std::int64_t, std::set<std::string>> reports;

    UsageCluster(std::size_t size, std::uint64_t seed) : scheduler(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            start(i);
    }

    void start(std::size_t index)
    {
        const std::string name = "i-" + std::to_string(index);
        processes.push_back(std::make_shared<FakeProcess>(name));
        const auto wall = [this] { return 1000 * windowMillis + scheduler.now().count(); };
        UsageDuty::Hooks duty{store.port(processes.back()),
                              Clock([this] { return scheduler.now(); }),
                              wall,
                              ignoreEvents(),
                              [this](std::int64_t window, const CustomerCounts &counts,
                                     const DutyAuthority &, const DutyCompletion &done) {
                                  reports[window].insert(encodeSeal(counts));
                                  done(isReportLost ? DutyResult::Unknown : DutyResult::Accepted,
                                       {});
                              },
                              [this, index]() -> std::optional<DutyAuthority> {
                                  if (index != holder)
                                      return std::nullopt;
                                  return DutyAuthority{"h", fence, scheduler.now() + Millis(3000),
                                                       heldSince, followsEarlierEra};
                              }};
        GatewayUsage::Hooks hooks{std::move(duty), scheduler.random(),
                                  [this, index] { return collectorsOf(index); },
                                  [this, index](const PeerAddress &to, const std::string &frame) {
                                      send(index, std::stoul(to), frame);
                                  }};
        duties.push_back(std::make_unique<GatewayUsage>(name + "." + std::to_string(duties.size()),
                                                        UsageTiming{}, std::move(hooks)));
        duties.back()->setShared(isShared);
    }

    /** Addresses are indices in the cluster; an instance's own address is empty. */
    std::vector<PeerAddress> collectorsOf(std::size_t index) const
    {
        std::vector<PeerAddress> addresses;
        for (const std::size_t collector : collectors)
            addresses.push_back(collector == index ? PeerAddress() : std::to_string(collector));
        return addresses;
    }

    void send(std::size_t from, std::size_t to, const std::string &frame)
    {
        scheduler.after(Millis(1), [this, from, to, frame] {
            if (processes[to]->isRunning(scheduler.now()))
                duties[to]->handleFrame(std::to_string(from), frame);
        });
    }

    void share(std::vector<std::size_t> places)
    {
        collectors = std::move(places);
        isShared = true;
        for (const auto &duty : duties)
            duty->setShared(true);
    }

    /** Advances time; each running instance counts a request every 100 ms. */
    void run(Millis span, bool counts = true)
    {
        const Millis end = scheduler.now() + span;
        while (scheduler.now() < end) {
            scheduler.runFor(Millis(100));
            for (std::size_t i = 0; i < duties.size(); ++i) {
                if (!processes[i]->isRunning(scheduler.now()))
                    continue;
                if (counts)
                    duties[i]->count("north");
                duties[i]->tick();
            }
        }
    }

    /** Another instance takes the duty over. */
    void move(std::size_t to)
    {
        holder = to;
        ++fence;
        heldSince = scheduler.now();
    }

    /** The store comes back from a copy; all running instances hear of it at once. */
    void restore(Millis age)
    {
        store.restore(age);
        for (std::size_t i = 0; i < duties.size(); ++i) {
            if (processes[i]->isRunning(scheduler.now()))
                duties[i]->storeRestored();
        }
    }

    std::uint64_t reported(std::int64_t window) const
    {
        const auto found = reports.find(window);
        if (found == reports.end() || found->second.empty())
            return 0;
        Reason reason;
        const CustomerCounts counts = *decodeSeal(*found->second.begin(), &reason);
        const auto north = counts.find("north");
        return north == counts.end() ? 0 : north->second;
    }

    bool isEachWindowOnce() const
    {
        for (const auto &[window, figures] : reports) {
            if (figures.size() != 1)
                return false;
        }
        return true;
    }
};

} // namespace cuminrail::testing
