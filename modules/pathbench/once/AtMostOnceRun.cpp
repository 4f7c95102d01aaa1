#include "pathbench/once/AtMostOnceRun.h"

#include "pathbench/setup/BenchInstance.h"
#include "settings/settings.h"
#include "standin/standin.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <vector>

namespace cuminrail::pathbench {

namespace {

using standin::Ending;
using standin::Record;
using standin::ServiceOptions;
using standin::StandinHost;
using standin::StandinService;
using ServiceHost = StandinHost<StandinService>;

constexpr std::size_t serviceCount = 7;
constexpr Millis serviceTimeout{400};
/** Bodies larger than the sockets' buffers are cut while they are being sent. */
constexpr std::size_t largeBody = 512 * 1024;
constexpr std::uint32_t largeEvery = 50;
constexpr int callerPatienceMs = 20000;

/** Every kind of break; shares of the requests that meet it. */
std::string faultPlan(std::uint64_t seed)
{
    using Json = nlohmann::json;
    const Json rules = Json::array({
        {{"fault", "down"}, {"share", 0.03}},
        {{"fault", "down"}, {"method", "POST"}, {"share", 0.03}},
        {{"fault", "lose-answer"}, {"share", 0.03}},
        {{"fault", "lose-answer"}, {"bytes", 90}, {"share", 0.03}},
        {{"fault", "reset"}, {"share", 0.03}},
        {{"fault", "reset"}, {"bytes", 150}, {"share", 0.02}},
        {{"fault", "stall"}, {"share", 0.01}},
        {{"fault", "stall"}, {"bytes", 120}, {"share", 0.005}},
        {{"fault", "silent"}, {"method", "POST"}, {"share", 0.005}},
        {{"fault", "late"}, {"ms", 50}, {"share", 0.02}},
        {{"fault", "late"}, {"ms", 800}, {"share", 0.01}},
        {{"fault", "slow"}, {"ms", 800}, {"share", 0.01}},
        {{"fault", "refuse"}, {"status", 503}, {"share", 0.02}},
    });
    return Json{{"seed", seed}, {"rules", rules}}.dump();
}

std::string bodyOf(std::uint32_t number)
{
    std::string body = std::to_string(number) + "\n";
    if (number % largeEvery == 0)
        body.resize(largeBody, 'x');
    return body;
}

constexpr unsigned lowestError = 300;

constexpr std::uint32_t maxRepeats = 5;

/** The platform's own troubles, met by claims. */
const char *const platformFaults = R"({"rules":[
    {"fault":"lose-answer","method":"PUT","path_prefix":"/objects/claims/","share":0.03},
    {"fault":"slow","ms":50,"path_prefix":"/objects/claims/","share":0.03},
    {"fault":"refuse","status":503,"path_prefix":"/objects/claims/","share":0.02}]})";

/** What one caller was told; no verdict if it was told nothing. */
struct Told
{
    std::optional<Verdict> verdict;
    unsigned status = 0;
    /** The error's code; empty in a success. */
    std::string code;
    bool isReplay = false;
    std::uint32_t repeats = 0;

    bool isSuccess() const { return verdict == Verdict::Ran && status < lowestError; }
};

std::string errorCode(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const nlohmann::json::json_pointer code("/error/code");
    return json.is_object() && json.contains(code) ? json[code].get<std::string>() : "";
}

Told call(std::uint16_t port, std::uint32_t number, bool isKeyed)
{
    standin::BlockingRequest request;
    request.method = "POST";
    request.target = "/services/once/lodge";
    request.body = bodyOf(number);
    request.headers = {{"Authorization", std::string("Bearer ") + benchKey}};
    if (isKeyed)
        request.headers.emplace_back("Idempotency-Key", "lodging-" + std::to_string(number));
    request.timeoutMs = callerPatienceMs;
    const auto answer = standin::callOnce(port, request);
    Told told;
    if (!answer.isWhole)
        return told;
    told.verdict = verdictNames.value(answer.header("x-cuminrail-verdict"));
    told.status = answer.status;
    told.code = errorCode(answer.body);
    told.isReplay = answer.header("x-idempotent-replay") == "true";
    return told;
}

/** What a caller takes from several answers: once it may have run, a later "not run" of a repeat
    says nothing of the first. */
Told callRepeatedly(const std::vector<std::uint16_t> &ports, std::uint32_t number)
{
    Told last;
    bool mayHaveRun = false;
    for (std::uint32_t repeat = 0; repeat <= maxRepeats; ++repeat) {
        last = call(ports[(number + repeat) % ports.size()], number, true);
        last.repeats = repeat;
        if (!last.verdict || last.isSuccess())
            return last;
        mayHaveRun = mayHaveRun || last.verdict != Verdict::NotRun;
    }
    if (mayHaveRun)
        last.verdict = Verdict::MayHaveRun;
    return last;
}

std::vector<Told> callAll(const std::vector<std::uint16_t> &ports, const AtMostOnceOptions &options)
{
    std::vector<Told> told(options.requests);
    std::atomic<std::uint32_t> next{0};
    std::vector<std::thread> callers;
    for (std::uint32_t i = 0; i < options.callers; ++i) {
        callers.emplace_back([&] {
            for (std::uint32_t number = next++; number < options.requests; number = next++)
                told[number] = options.isKeyed ? callRepeatedly(ports, number)
                                               : call(ports.front(), number, false);
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    return told;
}

/** How often each request ran, by the services' records. */
struct Arrivals
{
    std::unordered_map<std::uint32_t, std::uint32_t> runs;
    std::uint32_t disturbed = 0;
};

void addRecords(const std::vector<Record> &records, Arrivals &arrivals)
{
    for (const Record &record : records) {
        if (record.ending != Ending::Answered)
            ++arrivals.disturbed;
        if (record.ran)
            ++arrivals.runs[static_cast<std::uint32_t>(std::stoul(record.body))];
    }
}

void judge(const std::vector<Told> &told, const Arrivals &arrivals, AtMostOnceResult &result)
{
    for (std::uint32_t number = 0; number < told.size(); ++number) {
        const auto found = arrivals.runs.find(number);
        const std::uint32_t runs = found == arrivals.runs.end() ? 0 : found->second;
        result.ran += runs > 0 ? 1 : 0;
        result.ranTwice += runs > 1 ? 1 : 0;
        result.repeats += told[number].repeats;
        result.replays += told[number].isReplay ? 1 : 0;
        if (!told[number].code.empty())
            ++result.codes[told[number].code];
        if (!told[number].verdict) {
            ++result.untold;
            continue;
        }
        switch (*told[number].verdict) {
        case Verdict::NotRun:
            ++result.toldNotRun;
            result.falseNotRun += runs > 0 ? 1 : 0;
            break;
        case Verdict::MayHaveRun:
            ++result.toldMayHaveRun;
            break;
        case Verdict::Ran:
            ++result.toldRan;
            // A service's own error is passed on as its answer; only a success says that it ran.
            result.falseRan += runs == 0 && told[number].status < lowestError ? 1 : 0;
            break;
        }
    }
}

} // namespace

nlohmann::json AtMostOnceResult::toJson() const
{
    return {{"requests", requests},
            {"told_ran", toldRan},
            {"told_not_run", toldNotRun},
            {"told_may_have_run", toldMayHaveRun},
            {"untold", untold},
            {"ran", ran},
            {"ran_twice", ranTwice},
            {"false_not_run", falseNotRun},
            {"false_ran", falseRan},
            {"disturbed", disturbed},
            {"repeats", repeats},
            {"replays", replays},
            {"codes", codes},
            {"seconds", seconds},
            {"good", isGood()}};
}

namespace {

/** Puts settings in force in a store that nobody else writes yet. */
void putInForce(StandinHost<standin::StandinPlatform> &platform, const Settings &settings)
{
    SettingsHead head;
    head.generation = 1;
    head.token = "bench";
    platform.run([&](standin::StandinPlatform &there) {
        for (const auto &[name, text] : writeSettings(settings)) {
            head.subtrees[name] = standin::sha256Hex(text);
            there.store().put({settingsContentPath(head.subtrees[name]), text, std::nullopt});
        }
        there.store().put({kSettingsHeadPath, head.toText(), std::nullopt});
    });
}

std::vector<Told> callThroughOne(const Settings &settings, const AtMostOnceOptions &options)
{
    const BenchInstance instance(settings, 2);
    return callAll({instance.port()}, options);
}

std::vector<Told> callThroughTwo(const Settings &settings, const AtMostOnceOptions &options)
{
    StandinHost<standin::StandinPlatform> platform(standin::PlatformOptions{});
    putInForce(platform, settings);
    const BenchInstance first(platform.address(), "bench-a");
    const BenchInstance second(platform.address(), "bench-b");
    if (!platform.setFaults(platformFaults))
        throw std::logic_error("bad fault plan");
    return callAll({first.port(), second.port()}, options);
}

} // namespace

AtMostOnceResult runAtMostOnce(const AtMostOnceOptions &options)
{
    std::vector<std::unique_ptr<ServiceHost>> services;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < serviceCount; ++i) {
        services.push_back(std::make_unique<ServiceHost>(ServiceOptions{}));
        addresses.push_back(services.back()->address());
        if (!services.back()->setFaults(faultPlan(options.seed + i)))
            throw std::logic_error("bad fault plan");
    }
    // Nobody listens here: connecting is refused, and nothing was sent.
    addresses.emplace_back("127.0.0.1:1");
    Settings settings = makeBenchSettings();
    addOnceService(settings, addresses, serviceTimeout, options.isKeyed);

    AtMostOnceResult result;
    result.requests = options.requests;
    const auto began = std::chrono::steady_clock::now();
    const std::vector<Told> told =
        options.isKeyed ? callThroughTwo(settings, options) : callThroughOne(settings, options);
    result.seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    // Requests that a service took up late still run after their callers were told.
    Arrivals arrivals;
    for (const auto &service : services)
        addRecords(service->endedRecords(), arrivals);
    result.disturbed = arrivals.disturbed;
    judge(told, arrivals, result);
    return result;
}

} // namespace cuminrail::pathbench
