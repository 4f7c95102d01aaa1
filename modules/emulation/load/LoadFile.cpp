#include "emulation/load/LoadFile.h"

#include <nlohmann/json.hpp>

#include <set>
#include <stdexcept>

namespace cuminrail::emulation {

namespace {

using nlohmann::json;

/** A validation error with its path; thrown from any depth of the parser. */
class ValidationError : public std::runtime_error
{
public:
    ValidationError(std::string where, const std::string &what)
        : std::runtime_error(what), where_(std::move(where))
    { }
    const std::string &where() const { return where_; }

private:
    std::string where_;
};

/** Typed access to one JSON object; members that were never read are rejected as unknown. */
class ObjectReader
{
public:
    ObjectReader(const json &object, std::string path) : object_(object), path_(std::move(path))
    {
        if (!object.is_object())
            throw ValidationError(path_.empty() ? "file" : path_, "must be an object");
    }

    void number(const char *name, double &value, double minimum = 0)
    {
        const json *found = find(name);
        if (found == nullptr)
            return;
        if (!found->is_number())
            throw ValidationError(at(name), "must be a number");
        value = found->get<double>();
        if (value < minimum)
            throw ValidationError(at(name), "must not be below " + json(minimum).dump());
    }

    void positive(const char *name, double &value)
    {
        number(name, value);
        if (value <= 0)
            throw ValidationError(at(name), "must be above 0");
    }

    void whole(const char *name, int &value, int minimum = 0)
    {
        double asNumber = value;
        number(name, asNumber, minimum);
        value = static_cast<int>(asNumber);
        if (asNumber != double(value))
            throw ValidationError(at(name), "must be a whole number");
    }

    void text(const char *name, std::string &value)
    {
        const json *found = find(name);
        if (found == nullptr)
            return;
        if (!found->is_string())
            throw ValidationError(at(name), "must be a text");
        value = found->get<std::string>();
    }

    void flag(const char *name, bool &value)
    {
        const json *found = find(name);
        if (found == nullptr)
            return;
        if (!found->is_boolean())
            throw ValidationError(at(name), "must be true or false");
        value = found->get<bool>();
    }

    template<typename Read>
    void object(const char *name, Read read)
    {
        if (const json *found = find(name)) {
            ObjectReader members(*found, at(name));
            read(members);
            members.rejectUnknown();
        }
    }

    template<typename Value, typename Read>
    void list(const char *name, std::vector<Value> &values, Read read)
    {
        const json *found = find(name);
        if (found == nullptr)
            return;
        if (!found->is_array())
            throw ValidationError(at(name), "must be a list");
        for (std::size_t i = 0; i < found->size(); ++i) {
            const std::string path = at(name) + "[" + std::to_string(i) + "]";
            Value value;
            read((*found)[i], path, value);
            values.push_back(std::move(value));
        }
    }

    void rejectUnknown() const
    {
        for (const auto &entry : object_.items()) {
            if (readNames_.count(entry.key()) == 0)
                throw ValidationError(at(entry.key().c_str()), "is not known");
        }
    }

private:
    const json *find(const char *name)
    {
        readNames_.insert(name);
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }
    std::string at(const char *name) const { return path_.empty() ? name : path_ + "." + name; }

    const json &object_;
    std::string path_;
    std::set<std::string> readNames_;
};

template<typename Value, typename Fill>
auto elementReader(Fill fill)
{
    return [fill](const json &object, const std::string &path, Value &value) {
        ObjectReader members(object, path);
        fill(members, value);
        members.rejectUnknown();
    };
}

void readSpread(ObjectReader &members, SizeSpread &size)
{
    members.positive("mean", size.mean);
    members.number("spread", size.spread);
    members.positive("most", size.most);
}

void readShared(ObjectReader &members, SharedParts &parts)
{
    members.whole("count", parts.count, 1);
    members.object("tokens", [&](ObjectReader &size) { readSpread(size, parts.tokens); });
    members.number("skew", parts.skew);
}

void readKind(ObjectReader &members, LoadKind &kind)
{
    members.text("name", kind.name);
    members.number("per_second", kind.perSecond);
    members.list("shared", kind.shared, elementReader<SharedParts>(readShared));
    members.object("own_tokens", [&](ObjectReader &size) { readSpread(size, kind.ownTokens); });
    members.object("events", [&](ObjectReader &size) { readSpread(size, kind.events); });
    members.positive("goal_ms", kind.goalMs);
    members.positive("pause_goal_ms", kind.pauseGoalMs);
    members.positive("deadline_ms", kind.deadlineMs);
    members.number("worth", kind.worth);
    members.number("late_worth", kind.lateWorth);
    members.whole("priority", kind.priority);
    members.whole("max_attempts", kind.maxAttempts, 1);
    members.flag("can_resume", kind.canResume);
}

void readEngine(ObjectReader &members, EngineFigures &engine)
{
    members.whole("slots", engine.slots, 1);
    members.whole("waiting", engine.waiting);
    members.positive("step_ms", engine.stepMs);
    members.number("step_ms_per_request", engine.stepMsPerRequest);
    members.number("step_ms_per_context_thousand", engine.stepMsPerContextThousand);
    members.positive("prompt_tokens_per_ms", engine.promptTokensPerMs);
    members.number("pair_ms_per_million", engine.pairMsPerMillion);
    members.whole("chunk_tokens", engine.chunkTokens, 1);
    members.positive("decode_read_factor", engine.decodeReadFactor);
    members.positive("decode_chunk_factor", engine.decodeChunkFactor);
    members.number("first_ms", engine.firstMs);
    members.whole("tokens_per_event", engine.tokensPerEvent, 1);
    members.positive("memory_tokens", engine.memoryTokens);
    members.positive("cache_bytes_per_token", engine.cacheBytesPerToken);
    members.positive("link_mbps", engine.linkMbps);
    members.number("transfer_setup_ms", engine.transferSetupMs);
    members.positive("handle_ms", engine.handleMs);
    members.number("stage_switch_ms", engine.stageSwitchMs);
}

void readSurge(ObjectReader &members, Surge &surge)
{
    members.number("from_ms", surge.fromMs);
    members.positive("to_ms", surge.toMs);
    members.text("kind", surge.kind);
    members.number("factor", surge.factor);
}

void readLoss(ObjectReader &members, EngineLoss &loss)
{
    members.number("at_ms", loss.atMs);
    members.text("domain", loss.domain);
    members.whole("count", loss.count, 1);
    members.whole("kept", loss.kept);
    members.number("notice_ms", loss.noticeMs);
    members.number("back_after_ms", loss.backAfterMs);
}

void readPlan(ObjectReader &members, LoadPlan &plan)
{
    members.text("name", plan.name);
    members.positive("length_ms", plan.lengthMs);
    members.list("domains", plan.domains,
                 [](const json &value, const std::string &path, std::string &domain) {
                     if (!value.is_string())
                         throw ValidationError(path, "must be a text");
                     domain = value.get<std::string>();
                 });
    members.whole("instances", plan.instances, 1);
    members.whole("engines_per_domain", plan.enginesPerDomain, 1);
    members.number("prefill_share", plan.prefillShare);
    members.number("later_prefill_share", plan.laterPrefillShare);
    members.number("near_ms", plan.nearMs);
    members.number("far_ms", plan.farMs);
    members.number("list_lag_ms", plan.listLagMs);
    members.number("body_bytes_per_token", plan.bodyBytesPerToken);
    members.number("repeat_ratio", plan.repeatRatio);
    members.number("repeat_extra", plan.repeatExtra);
    members.positive("repeat_window_ms", plan.repeatWindowMs);
    members.object("engine", [&](ObjectReader &engine) { readEngine(engine, plan.engine); });
    members.list("kinds", plan.kinds, elementReader<LoadKind>(readKind));
    members.list("surges", plan.surges, elementReader<Surge>(readSurge));
    members.list("losses", plan.losses, elementReader<EngineLoss>(readLoss));
}

void validatePlan(const LoadPlan &plan)
{
    if (plan.domains.empty())
        throw ValidationError("domains", "must name at least one");
    if (plan.kinds.empty())
        throw ValidationError("kinds", "must name at least one");
    std::set<std::string> names;
    for (const LoadKind &kind : plan.kinds) {
        if (kind.name.empty() || !names.insert(kind.name).second)
            throw ValidationError("kinds", "each needs a name of its own");
    }
    for (const Surge &surge : plan.surges) {
        if (!surge.kind.empty() && names.count(surge.kind) == 0)
            throw ValidationError("surges", "no kind is called '" + surge.kind + "'");
    }
    const std::set<std::string> domains(plan.domains.begin(), plan.domains.end());
    for (const EngineLoss &loss : plan.losses) {
        if (!loss.domain.empty() && domains.count(loss.domain) == 0)
            throw ValidationError("losses", "no domain is called '" + loss.domain + "'");
    }
}

} // namespace

std::optional<LoadPlan> parseLoadFile(const std::string &text, Reason *lastReason)
{
    try {
        const json file = json::parse(text);
        ObjectReader members(file, "");
        LoadPlan plan;
        readPlan(members, plan);
        members.rejectUnknown();
        validatePlan(plan);
        return plan;
    } catch (const ValidationError &invalid) {
        fail(lastReason, invalid.where(), invalid.what());
    } catch (const json::exception &error) {
        fail(lastReason, "file", error.what());
    }
    return std::nullopt;
}

} // namespace cuminrail::emulation
