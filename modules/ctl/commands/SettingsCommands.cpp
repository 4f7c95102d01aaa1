#include "ctl/commands/CommandSession.h"
#include "ctl/settings/KeyEdit.h"
#include "ctl/settings/TreeFiles.h"

namespace cuminrail::detail {

namespace {

constexpr int maxEditAttempts = 5;

std::vector<Reason> revivedKeyMistakes(const SettingsSubtrees &older, const SettingsSubtrees &newer)
{
    std::vector<Reason> mistakes;
    for (const std::string &hash : revivedKeys(older, newer))
        mistakes.push_back({"key " + hash,
                            "was withdrawn; a withdrawn key does not come back. Mark it as "
                            "withdrawn in the directory, or leave it out"});
    return mistakes;
}

SettingsSubtrees mergedSettings(const SettingsSubtrees &stored, const SettingsSubtrees &directory,
                                bool isWhole)
{
    SettingsSubtrees wanted;
    if (!isWhole)
        wanted = stored;
    for (const auto &[name, text] : directory)
        wanted[name] = canonicalSubtree(text);
    return wanted;
}

} // namespace

CtlReport SettingsCommands::apply()
{
    std::vector<Reason> mistakes;
    const auto directory = readTreeFiles(arguments_.operands.front(), &mistakes);
    if (!directory)
        return refusal(mistakes);
    Reason reason;
    const auto stored = repository_.load(&reason);
    if (!stored)
        return failure(CtlExit::Unavailable, reason);
    const SettingsSubtrees wanted =
        mergedSettings(stored->subtrees, *directory, arguments_.isWhole);
    // Validates the merged tree, not the directory alone: a team's directory may reference
    // a model that another subtree defines, or lack one that other subtrees still reference.
    if (!readSettings(wanted, &mistakes))
        return refusal(mistakes);
    mistakes = revivedKeyMistakes(stored->subtrees, wanted);
    if (!mistakes.empty())
        return refusal(mistakes);
    CtlReport report;
    report.json["generation"] = stored->head.generation;
    if (arguments_.base && *arguments_.base != stored->head.generation)
        return failure(
            CtlExit::Conflict,
            {"--base " + std::to_string(*arguments_.base),
             "but generation " + std::to_string(stored->head.generation) + " is in force"});
    const auto changes = diffSettings(stored->subtrees, wanted);
    addChanges(report, changes);
    if (wanted == stored->subtrees) {
        report.text += "generation " + std::to_string(stored->head.generation)
            + " is in force, no difference\n";
        return report;
    }
    if (arguments_.isDryRun || arguments_.command == "diff") {
        report.exit = CtlExit::Differences;
        report.text += "against generation " + std::to_string(stored->head.generation) + "\n";
        return report;
    }
    CtlReport committed = commitReport(repository_.commit(*stored, wanted));
    committed.json["changes"] = report.json["changes"];
    committed.text = report.text + committed.text;
    return committed;
}

CtlReport SettingsCommands::get()
{
    Reason reason;
    const auto stored = repository_.load(&reason);
    if (!stored)
        return failure(CtlExit::Unavailable, reason);
    CtlReport report;
    report.json["generation"] = stored->head.generation;
    report.json["subtrees"] = nlohmann::json::object();
    for (const auto &[name, text] : stored->subtrees) {
        if (!arguments_.operands.empty() && arguments_.operands.front() != name)
            continue;
        const auto json = nlohmann::json::parse(text, nullptr, false);
        report.json["subtrees"][name] = json;
        if (arguments_.operands.empty())
            report.text += name + "  " + stored->head.subtrees.at(name).substr(0, 12) + "  "
                + std::to_string(text.size()) + " bytes\n";
        else
            report.text += json.dump(2) + "\n";
    }
    if (arguments_.operands.empty())
        report.text += "generation " + std::to_string(stored->head.generation) + "\n";
    else if (report.json["subtrees"].empty())
        return failure(CtlExit::Differences, {arguments_.operands.front(), "no such subtree"});
    return report;
}

CtlReport SettingsCommands::edit(const Edit &change)
{
    CtlReport report;
    for (int attempt = 0; attempt < maxEditAttempts; ++attempt) {
        Reason reason;
        const auto stored = repository_.load(&reason);
        if (!stored)
            return failure(CtlExit::Unavailable, reason);
        SettingsSubtrees wanted = stored->subtrees;
        if (!change(wanted, &reason))
            return refusal({reason});
        std::vector<Reason> mistakes;
        if (!readSettings(wanted, &mistakes))
            return refusal(mistakes);
        report = commitReport(repository_.commit(*stored, wanted));
        if (report.exit != CtlExit::Conflict)
            return report;
    }
    return report;
}

std::optional<std::string> SettingsCommands::readKey(Reason *lastReason)
{
    std::string key;
    std::getline(surroundings_.input, key);
    if (!key.empty())
        return key;
    fail(lastReason, "standard input", "has no key");
    return std::nullopt;
}

CtlReport SettingsCommands::addKey()
{
    Reason reason;
    const auto key = arguments_.readsKey ? readKey(&reason) : makeKey(surroundings_.random);
    if (!key)
        return failure(CtlExit::Usage, reason);
    const NewKey entry{TeamId(arguments_.team), CustomerId(arguments_.customer), arguments_.label,
                       KeyHash::of(*key)};
    CtlReport report = edit([&entry](SettingsSubtrees &subtrees, Reason *lastReason) {
        return cuminrail::addKey(subtrees, entry, lastReason);
    });
    report.json["sha256"] = entry.hash.toHex();
    if (report.exit != CtlExit::Ok || arguments_.readsKey)
        return report;
    // The key is shown only here; the store has nothing but its hash.
    report.json["key"] = *key;
    report.text += "key: " + *key + "\n";
    return report;
}

CtlReport SettingsCommands::withdrawKey()
{
    Reason reason;
    std::optional<KeyHash> hash;
    if (!arguments_.readsKey)
        hash = KeyHash::fromHex(arguments_.hash);
    else if (const auto key = readKey(&reason))
        hash = KeyHash::of(*key);
    if (!hash)
        return failure(CtlExit::Usage, {"--hash", "must be 64 hexadecimal digits"});
    return edit([&hash](SettingsSubtrees &subtrees, Reason *lastReason) {
        return cuminrail::withdrawKey(subtrees, *hash, lastReason);
    });
}

CtlReport SettingsCommands::prune()
{
    const PruneResult result = repository_.prune(surroundings_.wait);
    if (!result.isComplete)
        return failure(CtlExit::Unavailable, result.lastReason);
    CtlReport report;
    report.json["removed"] = result.removed;
    report.json["kept"] = result.kept;
    report.text = std::to_string(result.removed) + " contents removed, "
        + std::to_string(result.kept) + " unnamed ones kept\n";
    return report;
}

} // namespace cuminrail::detail
