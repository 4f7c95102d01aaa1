#pragma once

#include "ports/store/ObjectStore.h"
#include "ports/testing/FakeNetwork.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/** How often each call reached the store. */
struct StoreCallCounts
{
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t puts = 0;
    std::uint64_t removes = 0;
    std::uint64_t watches = 0;
};

/**
    The platform's object API in memory: versions, conditions, watches.

    Outages, slowness and lost messages are faults of endpoint "store" in FakeNetwork. Every write
    is kept in order, for judges and for lagging reads.
*/
class FakeObjectStore
{
public:
    static constexpr const char *endpoint = "store";

    explicit FakeObjectStore(FakeNetwork &network) : network_(network) { }
    FakeObjectStore(const FakeObjectStore &) = delete;
    FakeObjectStore &operator=(const FakeObjectStore &) = delete;

    /** Returns the store as one process reaches it. */
    ObjectStore port(const FakeProcessPtr &process);
    /** Makes reads of one process show the state of a span ago. */
    void setReadLag(const std::string &process, Millis lag) { readLag_[process] = lag; }

    /** Forgets all changes so far: watches from before them end with NotFound. */
    void dropHistory() { droppedThrough_ = revision_; }

    /**
        Comes back from a copy of a span ago: what was written since is lost, its revisions are
       given out again, and the era rises. Watches from before end with NotFound.
    */
    void restore(Millis age);
    /** Writes at once and without a condition, as an operator or a test would. */
    ObjectVersion write(const std::string &path, const std::string &value);
    /** Removes at once and without a condition. */
    void remove(const std::string &path) { remove(path, std::nullopt); }
    /** Returns the value now, or an empty text. */
    std::string value(const std::string &path) const;
    /** Returns every write that took effect, in order. */
    const std::vector<StoreObject> &history() const { return history_; }
    const StoreCallCounts &counts() const { return counts_; }

private:
    using Objects = std::map<std::string, StoreObject>;
    struct Watch
    {
        std::string prefix;
        ObjectVersion after;
        std::function<void(const StoreReply &)> answer;
    };

    void call(const FakeProcessPtr &process, const std::string &operation,
              const std::string &subject, const std::function<StoreReply()> &effect,
              const StoreCompletion &done);
    Objects stateFor(const std::string &process) const;
    StoreReply read(const Objects &objects, const std::string &path) const;
    StoreReply list(const Objects &objects, const std::string &prefix, ObjectVersion after) const;
    StoreReply put(const std::string &process, const StorePut &put);
    StoreReply remove(const std::string &path, std::optional<ObjectVersion> expected);
    StoreReply changesSince(const std::string &prefix, ObjectVersion after) const;
    void watch(const FakeProcessPtr &process, const std::string &prefix, ObjectVersion after,
               Millis wait, const StoreCompletion &done);
    void applied(const StoreObject &object);

    FakeNetwork &network_;
    Objects objects_;
    ObjectVersion revision_ = 0;
    ObjectVersion droppedThrough_ = 0;
    std::vector<StoreObject> history_;
    std::vector<Millis> historyTimes_;
    std::map<std::uint64_t, Watch> watches_;
    std::uint64_t watchCount_ = 0;
    std::map<std::string, Millis> readLag_;
    /** The era of the last reply to each process. */
    std::map<std::string, StoreEra> knownEra_;
    StoreCallCounts counts_;
};

} // namespace cuminrail
