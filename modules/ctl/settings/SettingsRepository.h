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

/** The settings in force, and the version of the head that says so. */
struct StoredSettings
{
    /** Generation 0 and no subtrees before the first apply. */
    SettingsHead head;
    ObjectVersion headVersion = 0;
    SettingsSubtrees subtrees;
};

enum class CommitStatus : std::uint8_t {
    Committed,
    /** Someone else changed the settings since they were read. Nothing of ours is in force. */
    Conflict,
    /** The store did not take it. Nothing of ours is in force. */
    Unavailable,
    /** The store stopped answering in the middle; the change may be in force. */
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
    /** The generation in force now, as far as it is known. */
    std::uint64_t generation = 0;
    ObjectVersion headVersion = 0;
    Reason lastReason;
};

/** How a pruning went. */
struct PruneResult
{
    bool isComplete = false;
    std::size_t kept = 0;
    std::size_t removed = 0;
    Reason lastReason;
};

/**
    Reads and changes the settings in the store, as whole sets. @see SettingsHead

    Every call waits for its answer.
*/
class SettingsRepository
{
public:
    SettingsRepository(ControlLoop &loop, ObjectStore store, RandomHook random);

    /** Reads the set in force; nothing when the store does not answer or holds damaged settings. */
    std::optional<StoredSettings> load(Reason *lastReason);

    /**
        Puts a checked set in force if the base is still what is in force.

        An answer lost after the write took effect is settled by reading back the head's token: a
        blind repetition would fail its condition and report a conflict with ourselves.
    */
    CommitResult commit(const StoredSettings &base, const SettingsSubtrees &wanted);

    /**
        Removes contents that the head does not name, in two looks with a wait between them.

        A writer writes its contents before the head that names them. Removing what nobody names
        yet would leave that head pointing at nothing, and no instance could read the settings. So
        a content is removed only if it was unnamed before the wait and after it, and was not
        written again in between; writers do not take longer than the wait from contents to head.
    */
    PruneResult prune(const std::function<void(Millis)> &wait);

    /** How long a writer may take from its first content to the head. */
    static constexpr Millis commitLimit = Millis::seconds(60);
    /** How long pruning waits between its two looks. */
    static constexpr Millis pruneWait = Millis::seconds(120);

private:
    StoreReply get(const std::string &path);
    StoreReply put(const StorePut &put);
    bool loadContents(StoredSettings &stored, Reason *lastReason);
    bool writeContents(const StoredSettings &base, const SettingsHead &head,
                       const SettingsSubtrees &wanted, Reason *lastReason);
    CommitResult writeHead(const StoredSettings &base, const SettingsHead &head);
    std::optional<std::vector<StoreObject>> unnamedContents(Reason *lastReason);
    std::string makeToken();

    ControlLoop &loop_;
    ObjectStore store_;
    RandomHook random_;
};

/** Returns a subtree's text in one form, so that white space makes no difference. */
std::string canonicalSubtree(const std::string &text);

} // namespace cuminrail
