#include "dataplane/policy/DecisionSettings.h"

#include <cmath>
#include <cstdlib>
#include <functional>
#include <optional>

namespace cuminrail {

namespace {

/** One figure: its name, its bounds, and where it is kept. */
struct Figure
{
    const char *name;
    double least;
    double most;
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

Millis asMillis(double value)
{
    return Millis(static_cast<std::int64_t>(value));
}

constexpr double anyWeight = 1e6;

/** Named in the tests and in the pages for operators; a name is never given another meaning. */
const std::vector<Figure> &figures()
{
    static const std::vector<Figure> table = {
        {"domain-ms-per-kb", 0, anyWeight, weight(&PlacementWeights::domainMillisPerKilobyte)},
        {"hand-over-ms", 0, anyWeight, weight(&PlacementWeights::handOverMillis)},
        {"own-read-factor", 0, anyWeight, weight(&PlacementWeights::ownReadFactor)},
        {"own-read-ms", 0, anyWeight, weight(&PlacementWeights::ownReadMillis)},
        {"least-hand-over-tokens", 0, anyWeight, weight(&PlacementWeights::leastHandOverTokens)},
        {"transfer-ms-per-token", 0, anyWeight, weight(&PlacementWeights::transferMillisPerToken)},
        {"least-fetch-tokens", 0, 1e9, weight(&PlacementWeights::leastFetchTokens)},
        {"home-confidence", 0, 1, weight(&PlacementWeights::homeConfidence)},
        {"second-home-confidence", 0, 1, weight(&PlacementWeights::secondHomeConfidence)},
        {"read-weight", 0, anyWeight, weight(&PlacementWeights::readWeight)},
        {"ms-per-running", 0, anyWeight, weight(&PlacementWeights::millisPerRunning)},
        {"most-candidates", 1, anyWeight, weight(&PlacementWeights::mostCandidates)},
        {"ms-per-bad-share", 0, anyWeight, weight(&PlacementWeights::millisPerBadShare)},
        {"decode-share", 0, 1, stage(&StagePlanSettings::decodeShare)},
        {"concurrent-share", 0, 1, stage(&StagePlanSettings::concurrentShare)},
        {"gross-shortage", 0, 1, stage(&StagePlanSettings::grossShortage)},
        {"dwell-ms", 0, anyWeight,
         [](DecisionSettings &settings, double value) { settings.stages.dwell = asMillis(value); }},
        {"used-share", 0, 1, fleet(&FleetPlanSettings::usedShare)},
        {"kept-share", 0, 1, fleet(&FleetPlanSettings::keptShare)},
        {"substitute-share", 0, 1, fleet(&FleetPlanSettings::substituteShare)},
        {"denial-borne-ms", 0, anyWeight,
         [](DecisionSettings &settings, double value) {
             settings.fleet.denialBorne = asMillis(value);
         }},
        {"on-time-share", 0, anyWeight, deferral(&DeferralSettings::goalShare)},
        {"idle-wait-ms", 0, anyWeight, deferral(&DeferralSettings::idleWaitMillis)},
        {"books-asked", 0, 16,
         [](DecisionSettings &settings, double value) { settings.booksAsked = value; }},
        {"late-urgency", 0, 9,
         [](DecisionSettings &settings, double value) { settings.lateUrgency = value; }},
        {"feed-watchers", 0, 1000,
         [](DecisionSettings &settings, double value) { settings.feedWatchers = value; }},
        {"short-books-asked", 0, 16,
         [](DecisionSettings &settings, double value) { settings.shortBooksAsked = value; }},
        {"least-book-tokens", 0, anyWeight,
         [](DecisionSettings &settings, double value) { settings.leastBookTokens = value; }},
        {"substitutes-stay-ms", 0, anyWeight,
         [](DecisionSettings &settings, double value) {
             settings.fleet.substitutesStay = asMillis(value);
         }},
    };
    return table;
}

std::optional<double> numberIn(const std::string &text)
{
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const bool isWhole = !text.empty() && end == text.c_str() + text.size();
    return isWhole && std::isfinite(value) ? std::optional<double>(value) : std::nullopt;
}

std::string plain(double value)
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
    for (const Figure &figure : figures()) {
        if (name != figure.name)
            continue;
        const auto value =
            equals == std::string::npos ? std::nullopt : numberIn(text.substr(equals + 1));
        if (!value || *value < figure.least || *value > figure.most)
            return fail(lastReason, name,
                        "must be a number from " + plain(figure.least) + " to "
                            + plain(figure.most));
        figure.assign(*this, *value);
        return true;
    }
    return fail(lastReason, name, "is no figure that can be set");
}

std::vector<std::string> DecisionSettings::names()
{
    std::vector<std::string> all;
    for (const Figure &figure : figures())
        all.emplace_back(figure.name);
    return all;
}

} // namespace cuminrail
