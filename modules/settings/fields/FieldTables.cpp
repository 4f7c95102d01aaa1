#include "settings/fields/FieldTables.h"

#include "settings/fields/TextChecks.h"

namespace cuminrail {

namespace detail {

std::optional<std::int64_t> readWholeNumber(const nlohmann::json &value, const std::string &pointer,
                                            std::int64_t minimum, std::int64_t maximum,
                                            FieldProblems &problems)
{
    if (!value.is_number_integer()) {
        problems.add(pointer, "must be a whole number");
        return std::nullopt;
    }
    const bool isTooLarge = value.is_number_unsigned()
        && value.get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
    if (isTooLarge || value.get<std::int64_t>() < minimum) {
        problems.add(pointer,
                     "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return std::nullopt;
    }
    return value.get<std::int64_t>();
}

} // namespace detail

namespace {

constexpr double kMaxRate = 1e9;
constexpr std::uint32_t kMaxConcurrent = 1000000;
constexpr std::uint32_t kMaxTokens = 10000000;
constexpr Millis kMaxTokenTarget = Millis::minutes(10);
constexpr Millis kMaxServiceTimeout = Millis::minutes(60);

detail::TextCheck oneOf(std::vector<std::string> names, std::string listed)
{
    return [names = std::move(names),
            listed = std::move(listed)](const std::string &text) -> std::optional<std::string> {
        if (std::find(names.begin(), names.end(), text) == names.end())
            return "must be one of " + listed;
        return std::nullopt;
    };
}

FieldInfo required(std::string name, std::string type, std::string meaning)
{
    return FieldInfo{std::move(name), std::move(type), "", true, std::move(meaning)};
}

FieldInfo optional(std::string name, std::string type, std::string unit, std::string meaning)
{
    return FieldInfo{std::move(name), std::move(type), std::move(unit), false, std::move(meaning)};
}

} // namespace

template<>
const std::vector<Field<FleetSettings>> &FieldTable<FleetSettings>::fields()
{
    static const std::vector<Field<FleetSettings>> fields = {
        detail::listField(required("domains", "list of objects", "The failure domains."),
                          &FleetSettings::domains),
        detail::listField(
            optional("models", "list of objects", "", "The models that may be called."),
            &FleetSettings::models),
        detail::listField(optional("engines", "list of objects", "", "The model engines."),
                          &FleetSettings::engines),
        detail::listField(optional("services", "list of objects", "", "The plain services."),
                          &FleetSettings::services),
    };
    return fields;
}

template<>
const std::vector<Field<FailureDomainSettings>> &FieldTable<FailureDomainSettings>::fields()
{
    static const std::vector<Field<FailureDomainSettings>> fields = {
        detail::textField(required("id", "identifier", "Names the failure domain."),
                          &FailureDomainSettings::id, detail::checkIdentifier),
        detail::textField(required("region", "identifier", "The region it lies in."),
                          &FailureDomainSettings::region, detail::checkIdentifier),
        detail::countField(optional("concurrent_role_changes", "whole number 0 to 1000", "engines",
                                    "How many engines of the domain may change role at once."),
                           &FailureDomainSettings::concurrentRoleChanges, 0, 1000),
    };
    return fields;
}

template<>
const std::vector<Field<ModelSettings>> &FieldTable<ModelSettings>::fields()
{
    static const std::vector<Field<ModelSettings>> fields = {
        detail::textField(required("id", "identifier", "The name that callers give as `model`."),
                          &ModelSettings::id, detail::checkIdentifier),
        detail::textField(required("version", "version", "The version that is to serve."),
                          &ModelSettings::version, detail::checkVersion),
        detail::textListField(optional("adapters", "list of identifiers", "",
                                       "Adapters that callers may name as `model:adapter`."),
                              &ModelSettings::adapters, detail::checkIdentifier),
        detail::millisField(optional("first_token_target_ms", "whole number 1 to 600000", "ms",
                                     "Latency target from the request to its first token."),
                            &ModelSettings::firstTokenTarget, Millis(1), kMaxTokenTarget),
        detail::millisField(optional("token_target_ms", "whole number 1 to 600000", "ms",
                                     "Latency target between two tokens."),
                            &ModelSettings::tokenTarget, Millis(1), kMaxTokenTarget),
        detail::countField(optional("max_prompt_tokens", "whole number 1 to 10000000", "tokens",
                                    "Longer prompts are refused."),
                           &ModelSettings::maxPromptTokens, 1, kMaxTokens),
        detail::countField(optional("max_output_tokens", "whole number 1 to 10000000", "tokens",
                                    "Longer answers cannot be asked for."),
                           &ModelSettings::maxOutputTokens, 1, kMaxTokens),
    };
    return fields;
}

template<>
const std::vector<Field<EngineSettings>> &FieldTable<EngineSettings>::fields()
{
    static const std::vector<Field<EngineSettings>> fields = {
        detail::textField(
            required("id", "identifier", "Names the engine; unique over all upstreams."),
            &EngineSettings::id, detail::checkIdentifier),
        detail::textField(required("address", "address", "IP number and port."),
                          &EngineSettings::address, detail::checkAddress),
        detail::textField(required("domain", "identifier", "Its failure domain."),
                          &EngineSettings::domain, detail::checkIdentifier),
        detail::textListField(required("models", "list of identifiers", "Models it can serve."),
                              &EngineSettings::models, detail::checkIdentifier),
        detail::textField(optional("role", "`mixed`, `prefill`, `decode` or `none`", "",
                                   "The role it starts with."),
                          &EngineSettings::role,
                          oneOf({"mixed", "prefill", "decode", "none"},
                                "`mixed`, `prefill`, `decode` or `none`")),
        detail::textField(optional("cost_class", "`regular` or `reclaimable`", "",
                                   "Whether the platform may take it back at any moment."),
                          &EngineSettings::costClass,
                          oneOf({"regular", "reclaimable"}, "`regular` or `reclaimable`")),
        detail::boolField(optional("checks_fence", "boolean", "",
                                   "Whether it refuses orders with an older fence number."),
                          &EngineSettings::checksFence),
        detail::countField(optional("concurrent_requests", "whole number 1 to 1000000", "requests",
                                    "How many requests it runs at once."),
                           &EngineSettings::concurrentRequests, 1, kMaxConcurrent),
        detail::numberField(optional("prefill_tokens_per_second", "number 1 to 1e9", "tokens/s",
                                     "Expected prefill speed, until it has been measured."),
                            &EngineSettings::prefillTokensPerSecond, 1, kMaxRate),
        detail::numberField(optional("decode_tokens_per_second", "number 1 to 1e9", "tokens/s",
                                     "Expected decode speed, until it has been measured."),
                            &EngineSettings::decodeTokensPerSecond, 1, kMaxRate),
    };
    return fields;
}

template<>
const std::vector<Field<ServiceSettings>> &FieldTable<ServiceSettings>::fields()
{
    static const std::vector<Field<ServiceSettings>> fields = {
        detail::textField(required("name", "identifier", "Names the service."),
                          &ServiceSettings::name, detail::checkIdentifier),
        detail::textField(required("prefix", "path prefix", "Calls below it go to this service."),
                          &ServiceSettings::prefix, detail::checkServicePrefix),
        detail::millisField(optional("timeout_ms", "whole number 1 to 3600000", "ms",
                                     "How long a call may go without progress."),
                            &ServiceSettings::timeout, Millis(1), kMaxServiceTimeout),
        detail::listField(required("upstreams", "list of objects", "The servers of the service."),
                          &ServiceSettings::upstreams),
        detail::listField(optional("calls", "list of objects", "",
                                   "Calls whose repetition matters; others are repeatable only "
                                   "with GET, HEAD and OPTIONS."),
                          &ServiceSettings::calls),
    };
    return fields;
}

template<>
const std::vector<Field<ServiceUpstreamSettings>> &FieldTable<ServiceUpstreamSettings>::fields()
{
    static const std::vector<Field<ServiceUpstreamSettings>> fields = {
        detail::textField(
            required("id", "identifier", "Names the server; unique over all upstreams."),
            &ServiceUpstreamSettings::id, detail::checkIdentifier),
        detail::textField(required("address", "address", "IP number and port."),
                          &ServiceUpstreamSettings::address, detail::checkAddress),
        detail::textField(required("domain", "identifier", "Its failure domain."),
                          &ServiceUpstreamSettings::domain, detail::checkIdentifier),
    };
    return fields;
}

template<>
const std::vector<Field<ServiceCallSettings>> &FieldTable<ServiceCallSettings>::fields()
{
    static const std::vector<Field<ServiceCallSettings>> fields = {
        detail::textField(required("method", "HTTP method", "The method of the call."),
                          &ServiceCallSettings::method, detail::checkMethod),
        detail::textField(required("path", "path",
                                   "Below the prefix: `/` is every path, one that ends in `/` all "
                                   "below it, any other just itself."),
                          &ServiceCallSettings::path, detail::checkServicePath),
        detail::boolField(optional("repeatable", "boolean", "",
                                   "Whether running it twice does no harm; if not, it runs at "
                                   "most once."),
                          &ServiceCallSettings::repeatable),
        detail::boolField(optional("idempotency_key_required", "boolean", "",
                                   "Whether a call without Idempotency-Key is refused."),
                          &ServiceCallSettings::idempotencyKeyRequired),
    };
    return fields;
}

template<>
const std::vector<Field<TeamSettings>> &FieldTable<TeamSettings>::fields()
{
    static const std::vector<Field<TeamSettings>> fields = {
        detail::numberField(
            optional("reclaimable_share", "number 0 to 1", "share",
                     "Share of the team's work that may run on reclaimable engines."),
            &TeamSettings::reclaimableShare, 0, 1),
        detail::listField(required("customers", "list of objects", "The team's customers."),
                          &TeamSettings::customers),
        detail::listField(optional("expected_days", "list of objects", "",
                                   "Days on which operators expect a peak."),
                          &TeamSettings::expectedDays),
    };
    return fields;
}

template<>
const std::vector<Field<TeamSettings::ExpectedDay>> &FieldTable<TeamSettings::ExpectedDay>::fields()
{
    using Day = TeamSettings::ExpectedDay;
    static const std::vector<Field<Day>> fields = {
        detail::textField(required("date", "date", "The day, as in `2026-12-24`."), &Day::date,
                          detail::checkDate),
        detail::numberField(optional("factor", "number 0.1 to 100", "factor",
                                     "Expected demand against an ordinary day."),
                            &Day::factor, 0.1, 100),
    };
    return fields;
}

template<>
const std::vector<Field<CustomerSettings>> &FieldTable<CustomerSettings>::fields()
{
    static const std::vector<Field<CustomerSettings>> fields = {
        detail::textField(
            required("id", "identifier", "Names the customer; unique over all teams."),
            &CustomerSettings::id, detail::checkIdentifier),
        detail::numberField(optional("weight", "number 0.001 to 1000", "share",
                                     "Share of contended capacity relative to other customers."),
                            &CustomerSettings::weight, 0.001, 1000),
        detail::enumField(optional("priority", "`interactive`, `standard` or `batch`", "",
                                   "The highest priority its requests may ask for."),
                          &CustomerSettings::priority, priorityNames),
        detail::objectField(optional("limits", "object", "", "Limits over all instances together."),
                            &CustomerSettings::limits),
        detail::textListField(optional("models", "list of identifiers", "",
                                       "Models it may call; an empty list means all."),
                              &CustomerSettings::models, detail::checkIdentifier),
    };
    return fields;
}

template<>
const std::vector<Field<CustomerLimits>> &FieldTable<CustomerLimits>::fields()
{
    static const std::vector<Field<CustomerLimits>> fields = {
        detail::numberField(
            optional("requests_per_second", "number 0 to 1e9", "requests/s", "0 means no limit."),
            &CustomerLimits::requestsPerSecond, 0, kMaxRate),
        detail::countField(optional("concurrent_requests", "whole number 0 to 1000000", "requests",
                                    "0 means no limit."),
                           &CustomerLimits::concurrentRequests, 0, kMaxConcurrent),
        detail::numberField(optional("tokens_per_second", "number 0 to 1e9", "tokens/s",
                                     "Prompt and output tokens together; 0 means no limit."),
                            &CustomerLimits::tokensPerSecond, 0, kMaxRate),
    };
    return fields;
}

template<>
const std::vector<Field<KeysSubtree>> &FieldTable<KeysSubtree>::fields()
{
    static const std::vector<Field<KeysSubtree>> fields = {
        detail::listField(required("keys", "list of objects", "The team's caller keys."),
                          &KeysSubtree::keys),
    };
    return fields;
}

template<>
const std::vector<Field<CallerKeySettings>> &FieldTable<CallerKeySettings>::fields()
{
    static const std::vector<Field<CallerKeySettings>> fields = {
        detail::textField(required("sha256", "64 hexadecimal digits", "SHA-256 of the key."),
                          &CallerKeySettings::sha256, detail::checkSha256),
        detail::textField(required("customer", "identifier", "A customer of the same team."),
                          &CallerKeySettings::customer, detail::checkIdentifier),
        detail::textField(optional("label", "text of at most 200 characters", "",
                                   "For operators; never sent to upstreams."),
                          &CallerKeySettings::label, detail::checkLabel),
        detail::boolField(optional("withdrawn", "boolean", "",
                                   "A withdrawn key is refused; its entry stays, so that no older "
                                   "copy can bring it back."),
                          &CallerKeySettings::withdrawn),
    };
    return fields;
}

std::vector<SettingsPageRow> settingsPageRows()
{
    std::vector<SettingsPageRow> rows;
    addPageRows<FleetSettings>("fleet", rows);
    addPageRows<TeamSettings>("teams/<team>", rows);
    addPageRows<KeysSubtree>("keys/<team>", rows);
    return rows;
}

std::string toMarkdown(const SettingsPageRow &row)
{
    return "| `" + row.path + "` | " + row.type + " | " + row.unit + " | "
        + (row.defaultText == "required" ? row.defaultText : "`" + row.defaultText + "`") + " | "
        + row.meaning + " |";
}

} // namespace cuminrail
