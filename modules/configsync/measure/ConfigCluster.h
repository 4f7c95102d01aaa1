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

/** Returns 64 hexadecimal digits that depend on the text; replaces SHA-256 in virtual time. */
std::string virtualSha256(const std::string &text);

/**
    Instances with membership and configuration synchronisation, and a store, in virtual time.

    For tests and measurements. Settings are small but valid trees, written in the same order as by
    cuminrailctl: contents first, the head last.
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

    /** Starts an instance, or restarts it as a new incarnation. */
    void start(std::size_t index);
    /** Starts all instances, distributed over two seconds. */
    void startAll();
    ConfigSync &config(std::size_t index) { return *configs_[index]; }
    /**
        Returns all generations that an instance put in force, over all its incarnations, in order.
    */
    const std::vector<std::uint64_t> &history(std::size_t index) const { return history_[index]; }
    /** Returns true if an instance accepts a key now. */
    bool accepts(std::size_t index, const std::string &keySha256) const;

    /** Writes the next generation, with these keys valid and those withdrawn. */
    std::uint64_t apply(const std::vector<std::string> &validKeys,
                        const std::vector<std::string> &withdrawnKeys);
    /**
        Writes a head that refers to these subtrees, which may be invalid like those of a tool of
        another version.
    */
    std::uint64_t applySubtrees(const SettingsSubtrees &subtrees);

    /**
        Returns how many instances have this generation in force; those not running are counted too.
    */
    std::size_t countInForce(std::uint64_t generation);
    /**
        Runs until all running instances have it in force or the limit is exceeded; returns the time
        it took.
    */
    Millis runUntilInForce(std::uint64_t generation, Millis limit);

    /** Cuts an instance off from the store, or reconnects it. */
    void setStoreUnreachable(std::size_t index, bool cut);
    /** Makes the store unavailable to all instances, or available again. */
    void setStoreUnavailable(bool isUnavailable);

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

/** Cost and propagation times of configuration synchronisation for one cluster size. */
struct ConfigSyncMeasurement
{
    std::size_t instances = 0;
    /**
        From writing a head until half, and until all, of the instances have it in force; maximum
        over several changes.
    */
    Millis inForceMedian;
    Millis inForceWorst;
    /** From writing a withdrawal until all instances refuse the key. */
    Millis withdrawnWorst;
    /** Age of the last confirmation over all instances, sampled in the steady state. */
    Millis ageMedian;
    Millis ageWorst;
    std::size_t watchers = 0;
    /**
        Calls per second to the store by all instances together in the steady state; a watch counts
        as one.
    */
    double storeCallsPerSecond = 0;
    /**
        Sent per instance and second in the steady state, mean and the busiest instance, membership
        included.
    */
    double bytesPerSecond = 0;
    double worstBytesPerSecond = 0;
    /** Maximum number of calls to the store in one second, within the minute after an outage. */
    double worstCallsPerSecondAfterOutage = 0;
    /** Instances that refused requests at the end of that outage. */
    std::size_t refusedInOutage = 0;
};

/**
    Simulates a cluster of the given shape in virtual time; the same seed yields the same result.

    @param outage  how long the store is unavailable to all instances
*/
ConfigSyncMeasurement measureConfigSync(const ClusterShape &shape,
                                        Millis outage = Millis::minutes(10));

} // namespace cuminrail
