#pragma once

#include "configsync/ConfigSync.h"
#include "membership/measure/VirtualCluster.h"
#include "ports/testing/FakeNetwork.h"
#include "ports/testing/FakeObjectStore.h"
#include "settings/read/SettingsReader.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail {

/** Returns 64 hexadecimal digits that depend on the text; stands for SHA-256 in virtual time. */
std::string virtualSha256(const std::string &text);

/**
    Instances with membership and configuration, and a store, in virtual time.

    For tests and measurements. Settings are small but real trees, written as cuminrailctl does:
    contents first, the head last.
*/
class ConfigCluster
{
public:
    explicit ConfigCluster(ClusterShape shape, ConfigSyncConfig config = ConfigSyncConfig());
    ConfigCluster(const ConfigCluster &) = delete;
    ConfigCluster &operator=(const ConfigCluster &) = delete;

    VirtualCluster &instances() { return cluster_; }
    FakeNetwork &network() { return network_; }
    FakeObjectStore &store() { return store_; }
    std::size_t size() const { return cluster_.size(); }
    Millis now() const { return cluster_.now(); }
    void runFor(Millis span) { cluster_.runFor(span); }

    /** Starts one instance, a new life of it if it ran before. */
    void start(std::size_t index);
    /** Starts all, spread over two seconds. */
    void startAll();
    ConfigSync &config(std::size_t index) { return *configs_[index]; }
    /** Returns every generation that any life of an instance put in force, in order. */
    const std::vector<std::uint64_t> &history(std::size_t index) const { return history_[index]; }
    /** Returns true when an instance takes a key now. */
    bool accepts(std::size_t index, const std::string &keySha256) const;

    /** Writes the next generation, with these keys valid and the rest withdrawn. */
    std::uint64_t apply(const std::vector<std::string> &validKeys,
                        const std::vector<std::string> &withdrawnKeys);
    /** Writes a head that names these subtrees, as an operator of another version might. */
    std::uint64_t applySubtrees(const SettingsSubtrees &subtrees);

    /** Returns how many running instances have this generation in force. */
    std::size_t countInForce(std::uint64_t generation);
    /** Runs until all running instances have it, or a limit is over; returns the span it took. */
    Millis runUntilInForce(std::uint64_t generation, Millis limit);

    /** Cuts an instance off from the store, or joins it again. */
    void setStoreCut(std::size_t index, bool cut);
    /** Takes the store away from everybody, or brings it back. */
    void setStoreOut(bool out);

    static std::string keyHash(std::size_t number);

private:
    ConfigSyncHooks hooksOf(std::size_t index);

    ConfigSyncConfig config_;
    VirtualCluster cluster_;
    FakeNetwork network_;
    FakeObjectStore store_;
    std::vector<std::unique_ptr<ConfigSync>> configs_;
    std::vector<std::vector<std::uint64_t>> history_;
    std::uint64_t generation_ = 0;
};

/** What configuration costs and how fast it is at one size. */
struct ConfigFigures
{
    std::size_t instances = 0;
    /** From the write of a head until half, and until all, have it in force; worst of several. */
    Millis inForceMedian;
    Millis inForceWorst;
    /** From the write of a withdrawal until all refuse the key. */
    Millis withdrawnWorst;
    /** Age of the last confirmation over all instances, sampled at rest. */
    Millis ageMedian;
    Millis ageWorst;
    std::size_t watchers = 0;
    /** Calls of all instances together to the store in a second at rest; a watch is one. */
    double storeCallsPerSecond = 0;
    /** Sent by one instance in a second at rest, and its busiest, membership included. */
    double bytesPerSecond = 0;
    double worstBytesPerSecond = 0;
    /** Most calls to the store in any second of the minute after an outage. */
    double worstReturnCallsPerSecond = 0;
    /** Instances that refused requests during that outage. */
    std::size_t refusedInOutage = 0;
};

/**
    Runs a cluster of a shape in virtual time and measures; the same seed gives the same figures.

    @param outage  how long the store is out for everybody
*/
ConfigFigures measureConfigSync(const ClusterShape &shape, Millis outage = Millis::minutes(10));

} // namespace cuminrail
