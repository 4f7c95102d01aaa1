#include "dataplane/policy/DecisionSettings.h"

#include <cmath>
#include <cstdlib>
#include <functional>
#include <optional>

namespace cuminrail {

namespace {

/** A setting: its name, its bounds, and the function that assigns its value. */
struct Setting
{
    const char *name;
    double minValue;
    double maxValue;
    std::function<void(DecisionSettings &, double)> assign;
};

std::function<void(DecisionSettings &, double)> weight(double PlacementWeights::*member)
{
    return
        [member](DecisionSettings &settings, double value) { settings.placement.*member = value; };
}

std::function<void(DecisionSettings &, double)> stage(double StagePlanSettings::*member)
{
    return [member](DecisionSettings &settings, double value) { settings.stages.*member = value; };
}

std::function<void(DecisionSettings &, double)> fleet(double FleetPlanSettings::*member)
{
    return [member](DecisionSettings &settings, double value) { settings.fleet.*member = value; };
}

std::function<void(DecisionSettings &, double)> deferral(double DeferralSettings::*member)
{
    return
        [member](DecisionSettings &settings, double value) { settings.deferral.*member = value; };
}

Millis toMillis(double value)
{
    return Millis(static_cast<std::int64_t>(value));
}

constexpr double maxWeight = 1e6;

/** The names are documented for operators and used in tests; none is ever given another meaning. */
const std::vector<Setting> &settingTable()
{
    static const std::vector<Setting> table = {
        {"domain-ms-per-kb", 0, maxWeight, weight(&PlacementWeights::domainMillisPerKilobyte)},
        {"hand-over-ms", 0, maxWeight, weight(&PlacementWeights::handOverMillis)},
        {"own-read-factor", 0, maxWeight, weight(&PlacementWeights::ownReadFactor)},
        {"own-read-ms", 0, maxWeight, weight(&PlacementWeights::ownReadMillis)},
        {"least-hand-over-tokens", 0, maxWeight, weight(&PlacementWeights::leastHandOverTokens)},
        {"transfer-ms-per-token", 0, maxWeight, weight(&PlacementWeights::transferMillisPerToken)},
        {"least-fetch-tokens", 0, 1e9, weight(&PlacementWeights::leastFetchTokens)},
        {"home-confidence", 0, 1, weight(&PlacementWeights::homeConfidence)},
        {"second-home-confidence", 0, 1, weight(&PlacementWeights::secondHomeConfidence)},
        {"read-weight", 0, maxWeight, weight(&PlacementWeights::readWeight)},
        {"ms-per-running", 0, maxWeight, weight(&PlacementWeights::millisPerRunning)},
        {"most-candidates", 1, maxWeight, weight(&PlacementWeights::mostCandidates)},
        {"ms-per-bad-share", 0, maxWeight, weight(&PlacementWeights::millisPerBadShare)},
        {"decode-share", 0, 1, stage(&StagePlanSettings::decodeShare)},
        {"concurrent-share", 0, 1, stage(&StagePlanSettings::concurrentShare)},
        {"gross-shortage", 0, 1, stage(&StagePlanSettings::grossShortage)},
        {"dwell-ms", 0, maxWeight,
         [](DecisionSettings &settings, double value) { settings.stages.dwell = toMillis(value); }},
        {"used-share", 0, 1, fleet(&FleetPlanSettings::usedShare)},
        {"most-per-instance", 0, maxWeight, fleet(&FleetPlanSettings::mostPerInstance)},
        {"kept-share", 0, 1, fleet(&FleetPlanSettings::keptShare)},
        {"substitute-share", 0, 1, fleet(&FleetPlanSettings::substituteShare)},
        {"denial-borne-ms", 0, maxWeight,
         [](DecisionSettings &settings, double value) {
             settings.fleet.denialBorne = toMillis(value);
         }},
        {"on-time-share", 0, maxWeight, deferral(&DeferralSettings::goalShare)},
        {"idle-wait-ms", 0, maxWeight, deferral(&DeferralSettings::idleWaitMillis)},
        {"books-asked", 0, 16,
         [](DecisionSettings &settings, double value) { settings.booksAsked = value; }},
        {"late-urgency", 0, 9,
         [](DecisionSettings &settings, double value) { settings.lateUrgency = value; }},
        {"feed-watchers", 0, 1000,
         [](DecisionSettings &settings, double value) { settings.feedWatchers = value; }},
        {"short-books-asked", 0, 16,
         [](DecisionSettings &settings, double value) { settings.shortBooksAsked = value; }},
        {"least-book-tokens", 0, maxWeight,
         [](DecisionSettings &settings, double value) { settings.leastBookTokens = value; }},
        {"carry-when-cut", 0, 1,
         [](DecisionSettings &settings, double value) { settings.carryWhenCut = value; }},
        {"substitutes-stay-ms", 0, maxWeight,
         [](DecisionSettings &settings, double value) {
             settings.fleet.substitutesStay = toMillis(value);
         }},
    };
    return table;
}

std::optional<double> parseNumber(const std::string &text)
{
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const bool isFullyParsed = !text.empty() && end == text.c_str() + text.size();
    return isFullyParsed && std::isfinite(value) ? std::optional<double>(value) : std::nullopt;
}

std::string formatNumber(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

} // namespace

bool DecisionSettings::set(const std::string &text, Reason *lastReason)
{
    const std::size_t equals = text.find('=');
    const std::string name = text.substr(0, equals);
    for (const Setting &setting : settingTable()) {
        if (name != setting.name)
            continue;
        const auto value =
            equals == std::string::npos ? std::nullopt : parseNumber(text.substr(equals + 1));
        if (!value || *value < setting.minValue || *value > setting.maxValue)
            return fail(lastReason, name,
                        "must be a number from " + formatNumber(setting.minValue) + " to "
                            + formatNumber(setting.maxValue));
        setting.assign(*this, *value);
        return true;
    }
    return fail(lastReason, name, "is not a decision setting");
}

std::vector<std::string> DecisionSettings::names()
{
    std::vector<std::string> all;
    for (const Setting &setting : settingTable())
        all.emplace_back(setting.name);
    return all;
}

} // namespace cuminrail
