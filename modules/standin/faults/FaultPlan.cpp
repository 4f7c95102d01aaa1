#include "standin/faults/FaultPlan.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cuminrail::standin {

namespace {

using Json = nlohmann::json;

bool readField(FaultRule &rule, const std::string &name, const Json &value, Reason *lastReason)
{
    if (name == "fault") {
        const auto kind = faultKindNames.value(value.get<std::string>());
        if (!kind)
            return fail(lastReason, name, "unknown fault " + value.dump());
        rule.kind = *kind;
    } else if (name == "method") {
        rule.method = value.get<std::string>();
    } else if (name == "path_prefix") {
        rule.pathPrefix = value.get<std::string>();
    } else if (name == "instances") {
        rule.instances = value.get<std::vector<std::string>>();
    } else if (name == "skip") {
        rule.skip = value.get<std::uint32_t>();
    } else if (name == "count") {
        rule.count = value.get<std::uint32_t>();
    } else if (name == "share") {
        rule.share = value.get<double>();
    } else if (name == "ms") {
        rule.delayMs = value.get<std::uint32_t>();
    } else if (name == "bytes") {
        rule.bytes = value.get<std::uint32_t>();
    } else if (name == "events") {
        rule.events = value.get<std::uint32_t>();
    } else if (name == "status") {
        rule.status = value.get<unsigned>();
    } else if (name == "revisions") {
        rule.revisions = value.get<std::uint64_t>();
    } else {
        return fail(lastReason, name, "unknown field of a fault");
    }
    return true;
}

std::optional<FaultRule> readRule(const Json &json, Reason *lastReason)
{
    FaultRule rule;
    if (!json.is_object() || !json.contains("fault")) {
        fail(lastReason, "rules", "each rule is an object with \"fault\"");
        return std::nullopt;
    }
    for (const auto &field : json.items()) {
        if (!readField(rule, field.key(), field.value(), lastReason))
            return std::nullopt;
    }
    return rule;
}

bool matches(const FaultRule &rule, const FaultSubject &subject)
{
    if (!rule.method.empty() && rule.method != subject.method)
        return false;
    if (subject.path.substr(0, rule.pathPrefix.size()) != rule.pathPrefix)
        return false;
    return rule.instances.empty()
        || std::find(rule.instances.begin(), rule.instances.end(), subject.instance)
        != rule.instances.end();
}

} // namespace

std::optional<FaultPlan> FaultPlan::fromJson(const Json &json, Reason *lastReason)
{
    FaultPlan plan;
    if (!json.is_object()) {
        fail(lastReason, "faults", "must be an object");
        return std::nullopt;
    }
    try {
        plan.random_.seed(json.value("seed", std::uint64_t(1)));
        for (const Json &entry : json.value("rules", Json::array())) {
            const auto rule = readRule(entry, lastReason);
            if (!rule)
                return std::nullopt;
            plan.rules_.push_back(ActiveRule{*rule});
        }
    } catch (const Json::exception &error) {
        fail(lastReason, "faults", error.what());
        return std::nullopt;
    }
    return plan;
}

bool FaultPlan::draw(ActiveRule &active)
{
    if (active.seen++ < active.rule.skip)
        return false;
    if (active.rule.count && active.hits >= *active.rule.count)
        return false;
    if (active.rule.share < 1
        && std::uniform_real_distribution<double>(0, 1)(random_) >= active.rule.share)
        return false;
    ++active.hits;
    return true;
}

std::optional<FaultRule> FaultPlan::hitUnread()
{
    for (ActiveRule &active : rules_) {
        const bool isUnread =
            active.rule.kind == FaultKind::Down || active.rule.kind == FaultKind::Silent;
        if (isUnread && active.rule.isUnfiltered() && draw(active))
            return active.rule;
    }
    return std::nullopt;
}

std::optional<FaultRule> FaultPlan::hit(const FaultSubject &subject)
{
    for (ActiveRule &active : rules_) {
        const bool wasTriedUnread = active.rule.isUnfiltered()
            && (active.rule.kind == FaultKind::Down || active.rule.kind == FaultKind::Silent);
        if (!wasTriedUnread && matches(active.rule, subject) && draw(active))
            return active.rule;
    }
    return std::nullopt;
}

} // namespace cuminrail::standin
