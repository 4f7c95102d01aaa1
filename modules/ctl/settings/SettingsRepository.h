#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"
#include "core/random/Random.h"
#include "platform/client/ControlLoop.h"
#include "ports/store/ObjectStore.h"
#include "settings/head/SettingsHead.h"
#include "settings/read/SettingsReader.h"

#include <cstddef>
#include <optional>
#include <string>

namespace cuminrail {

/** The settings in force and the store's version of the head object that names them. */
struct StoredSettings
{
    /** Generation 0 and no subtrees before the first apply. */
    SettingsHead head;
    ObjectVersion headVersion = 0;
    SettingsSubtrees subtrees;
};

enum class CommitStatus : std::uint8_t {
    Committed,
    /** Another writer changed the settings since they were read. This change is not in force. */
    Conflict,
    /** The store did not accept the write. This change is not in force. */
    Unavailable,
    /** The store stopped responding during the write; the change may be in force. */
    Unknown,
};

inline constexpr NameTable<CommitStatus, 4> commitStatusNames{{{
    {CommitStatus::Committed, "committed"},
    {CommitStatus::Conflict, "conflict"},
    {CommitStatus::Unavailable, "unavailable"},
    {CommitStatus::Unknown, "unknown"},
}}};

struct CommitResult
{
    CommitStatus status = CommitStatus::Unknown;
    /** The last known generation in force. */
    std::uint64_t generation = 0;
    ObjectVersion headVersion = 0;
    Reason lastReason;
};

/** Result of a pruning run. */
struct PruneResult
{
    bool isComplete = false;
    std::size_t kept = 0;
    std::size_t removed = 0;
    Reason lastReason;
};

/**
    Reads and replaces the settings in the store as complete sets. @see SettingsHead

    Every call blocks until the store has responded.
*/
class SettingsRepository
{
public:
    SettingsRepository(ControlLoop &loop, ObjectStore store, RandomHook random);

    /** Reads the set in force; nullopt if the store is unavailable or its settings are damaged. */
    std::optional<StoredSettings> load(Reason *lastReason);

    /**
        Puts a validated set in force if the base is still the set in force.

        If the response is lost after the write took effect, the head is read back and its token
        compared: a retry alone would fail its version condition and report a conflict with this
        same commit.
    */
    CommitResult commit(const StoredSettings &base, const SettingsSubtrees &wanted);

    /**
        Removes contents that the head does not reference, in two passes with a wait in between.

        A writer writes its contents before the head that references them. Removing contents that
        are not referenced yet would leave that head with dangling references, and no instance
        could read the settings. So a content is removed only if it is unreferenced both before
        and after the wait and has not been written in between; writers take less time than the
        wait from their first content to the head.
    */
    PruneResult prune(const std::function<void(Millis)> &wait);

    /** Maximum time of a writer from its first content to the head. */
    static constexpr Millis commitLimit = Millis::seconds(60);
    /** Wait between the two passes of pruning. */
    static constexpr Millis pruneWait = Millis::seconds(120);

private:
    StoreReply get(const std::string &path);
    StoreReply put(const StorePut &put);
    bool loadContents(StoredSettings &stored, Reason *lastReason);
    bool writeContents(const StoredSettings &base, const SettingsHead &head,
                       const SettingsSubtrees &wanted, Reason *lastReason);
    CommitResult writeHead(const StoredSettings &base, const SettingsHead &head);
    std::optional<std::vector<StoreObject>> unreferencedContents(Reason *lastReason);
    std::string makeToken();

    ControlLoop &loop_;
    ObjectStore store_;
    RandomHook random_;
};

/** Returns a subtree's text in canonical form, so that white space does not matter. */
std::string canonicalSubtree(const std::string &text);

} // namespace cuminrail
