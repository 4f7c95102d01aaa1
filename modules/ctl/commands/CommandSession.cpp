#include "ctl/commands/CommandSession.h"

namespace cuminrail::detail {

CtlReport failure(CtlExit exit, const Reason &reason)
{
    CtlReport report;
    report.exit = exit;
    report.json["error"] = reason.toString();
    report.text = reason.toString() + "\n";
    return report;
}

CtlReport refusal(const std::vector<Reason> &mistakes)
{
    CtlReport report;
    report.exit = CtlExit::Differences;
    report.json["mistakes"] = nlohmann::json::array();
    report.text = "refused, nothing was changed:\n";
    for (const Reason &mistake : mistakes) {
        report.json["mistakes"].push_back({{"where", mistake.where}, {"what", mistake.what}});
        report.text += "  " + mistake.toString() + "\n";
    }
    return report;
}

CtlReport commitReport(const CommitResult &result)
{
    CtlReport report;
    report.json["commit"] = commitStatusNames.name(result.status);
    report.json["generation"] = result.generation;
    const std::string reason = result.lastReason.toString();
    switch (result.status) {
    case CommitStatus::Committed:
        report.text = "generation " + std::to_string(result.generation) + " is accepted\n";
        break;
    case CommitStatus::Conflict:
        report.exit = CtlExit::Conflict;
        report.text = "someone else changed the settings meanwhile: " + reason + "; generation "
            + std::to_string(result.generation)
            + " is in force, nothing of this change is unless diff shows it\n";
        break;
    case CommitStatus::Unavailable:
        report.exit = CtlExit::Unavailable;
        report.text = "not accepted, nothing was changed: " + reason + "\n";
        break;
    case CommitStatus::Unknown:
        report.exit = CtlExit::Unavailable;
        report.text = "the store stopped answering, the change may have been accepted: " + reason
            + "; see diff when it answers again\n";
        break;
    }
    if (result.status != CommitStatus::Committed)
        report.json["error"] = reason;
    return report;
}

void addChanges(CtlReport &report, const std::vector<SettingsChange> &changes)
{
    report.json["changes"] = nlohmann::json::array();
    for (const SettingsChange &change : changes) {
        report.json["changes"].push_back({{"kind", settingsChangeKindNames.name(change.kind)},
                                          {"path", change.path},
                                          {"old", change.oldValue},
                                          {"new", change.newValue}});
        switch (change.kind) {
        case SettingsChangeKind::Added:
            report.text += "+ " + change.path + "  " + change.newValue + "\n";
            break;
        case SettingsChangeKind::Removed:
            report.text += "- " + change.path + "  " + change.oldValue + "\n";
            break;
        case SettingsChangeKind::Changed:
            report.text +=
                "~ " + change.path + "  " + change.oldValue + " -> " + change.newValue + "\n";
            break;
        }
    }
}

} // namespace cuminrail::detail
