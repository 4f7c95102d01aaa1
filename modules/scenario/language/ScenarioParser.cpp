#include "scenario/language/ScenarioParser.h"

#include <algorithm>

namespace cuminrail {
namespace detail {

namespace {

/** An expectation without a time is evaluated at the end of the run. */
constexpr Millis atEnd = Millis::never();

std::string withoutIndent(const std::string &line)
{
    const std::size_t begin = line.find_first_not_of(" \t");
    return begin == std::string::npos ? "" : line.substr(begin);
}

CrashOutcome crashOutcome(StatementReader &words)
{
    const std::string outcome = words.word("old, new or none");
    if (outcome == "old")
        return CrashOutcome::OldRole;
    if (outcome == "new")
        return CrashOutcome::NewRole;
    if (outcome == "none")
        return CrashOutcome::NoRole;
    throw StatementError("'" + outcome + "' is not old, new or none");
}

} // namespace

void ScenarioParser::readLine(const std::string &line, int number)
{
    const std::string text = withoutIndent(line);
    if (script_.title.empty() && text.rfind("# ", 0) == 0)
        script_.title = text.substr(2);
    StatementReader words(text);
    if (words.isAtEnd())
        return;
    if (words.accept("at")) {
        const Millis at = words.span("the instant");
        if (words.accept("expect"))
            readExpectation(at, words, text, number);
        else
            readAction(at, words, text);
    } else if (words.accept("expect")) {
        readExpectation(atEnd, words, text, number);
    } else {
        readSetup(words.word("a statement"), words);
    }
    words.finish();
}

ScenarioScript ScenarioParser::finish()
{
    if (script_.stepsTo == Millis(0))
        script_.stepsTo = script_.end;
    for (ScenarioExpectation &expectation : script_.expectations)
        expectation.at = std::min(expectation.at, script_.end);
    const auto byTime = [](const auto &a, const auto &b) { return a.at < b.at; };
    std::stable_sort(script_.expectations.begin(), script_.expectations.end(), byTime);
    std::stable_sort(script_.actions.begin(), script_.actions.end(), byTime);
    return std::move(script_);
}

void ScenarioParser::readSetup(const std::string &keyword, StatementReader &words)
{
    if (keyword == "instance") {
        readInstance(words);
    } else if (keyword == "engine") {
        readEngine(words);
    } else if (keyword == "zone") {
        readZone(words);
    } else if (keyword == "team") {
        const std::string team = words.word("the team's name");
        teams_.insert(team);
        script_.setups.push_back({[team](ScenarioWorld &w) { w.addTeam(TeamId(team)); }});
    } else if (keyword == "usage-window") {
        const Millis length = words.span("the window's length");
        script_.setups.push_back({[length](ScenarioWorld &w) { w.windowLength = length; }});
    } else if (keyword == "end") {
        script_.end = words.span("the end");
    } else if (keyword == "steps") {
        readSteps(words);
    } else {
        throw StatementError("unknown statement '" + keyword + "'");
    }
}

void ScenarioParser::readInstance(StatementReader &words)
{
    const std::string name = words.word("the instance's name");
    words.require("domain");
    const FailureDomainId domain(words.word("the failure domain"));
    if (!instances_.insert(name).second)
        throw StatementError("instance '" + name + "' is there already");
    script_.setups.push_back({[name, domain](ScenarioWorld &w) { w.addInstance(name, domain); }});
}

void ScenarioParser::readEngine(StatementReader &words)
{
    const UpstreamId id(words.word("the engine's name"));
    words.require("domain");
    const FailureDomainId domain(words.word("the failure domain"));
    const bool checksFence = words.accept("checks-fence") && words.yesOrNo("checks-fence");
    const Millis orderDuration =
        words.accept("order-takes") ? words.span("order-takes") : Millis(2000);
    if (!engines_.insert(id.text()).second)
        throw StatementError("engine '" + id.text() + "' is there already");
    if (checksFence)
        script_.checkingEngines.insert(id.text());
    script_.setups.push_back(
        {[=](ScenarioWorld &w) { w.addEngine(id, domain, checksFence, orderDuration); }});
}

Zone readZoneName(StatementReader &words)
{
    const FailureDomainId domain(words.word("a failure domain"));
    const std::string costClass = words.word("a cost class");
    const auto known = costClassNames.value(costClass);
    if (!known)
        throw StatementError("unknown cost class '" + costClass + "'");
    return Zone{domain, *known};
}

void ScenarioParser::readZone(StatementReader &words)
{
    const Zone zone = readZoneName(words);
    zones_.insert(zone);
    script_.setups.push_back({[zone](ScenarioWorld &w) { w.addZone(zone); }});
}

void ScenarioParser::readSteps(StatementReader &words)
{
    words.require("from");
    script_.stepsFrom = words.span("the first step");
    words.require("to");
    script_.stepsTo = words.span("the last step");
}

std::string ScenarioParser::instanceName(StatementReader &words)
{
    std::string name = words.word("an instance");
    if (instances_.count(name) == 0)
        throw StatementError("unknown instance '" + name + "'");
    return name;
}

UpstreamId ScenarioParser::engineName(StatementReader &words)
{
    const std::string name = words.word("an engine");
    if (engines_.count(name) == 0)
        throw StatementError("unknown engine '" + name + "'");
    return UpstreamId(name);
}

TeamId ScenarioParser::teamName(StatementReader &words)
{
    const std::string name = words.word("a team");
    if (teams_.count(name) == 0)
        throw StatementError("unknown team '" + name + "'");
    return TeamId(name);
}

void ScenarioParser::readAction(Millis at, StatementReader &words, const std::string &line)
{
    const std::string keyword = words.word("an action");
    ScenarioAction parsed;
    parsed.at = at;
    parsed.text = line;
    parsed.apply = action(keyword, words);
    script_.actions.push_back(std::move(parsed));
}

std::function<void(ScenarioWorld &)> ScenarioParser::action(const std::string &keyword,
                                                            StatementReader &words)
{
    if (keyword == "order")
        return orderAction(words);
    if (keyword == "count")
        return countAction(words);
    if (keyword == "ask" || keyword == "lodge")
        return callAction(keyword == "ask", words);
    if (keyword == "fleet")
        return fleetAction(words);
    if (keyword == "store")
        return storeAction(words);
    if (keyword == "lose-answer")
        return lossAction(MessageLeg::Reply, words);
    if (keyword == "lose-request")
        return lossAction(MessageLeg::Request, words);
    if (keyword == "crash") {
        const UpstreamId engine = engineName(words);
        const CrashOutcome outcome = crashOutcome(words);
        return [=](ScenarioWorld &w) { w.engines.crash(engine, outcome); };
    }
    return instanceAction(keyword, words);
}

std::function<void(ScenarioWorld &)> ScenarioParser::orderAction(StatementReader &words)
{
    OrderRequest order;
    order.engine = engineName(words);
    const std::string kind = words.word("the order's kind");
    const auto known = engineOrderKindNames.value(kind);
    if (!known)
        throw StatementError("unknown kind of order '" + kind + "'");
    order.kind = *known;
    order.target = words.word("the order's target");
    if (order.kind == EngineOrderKind::ChangeRole && !engineRoleNames.value(order.target))
        throw StatementError("unknown role '" + order.target + "'");
    return [order](ScenarioWorld &w) { w.wish(order); };
}

std::function<void(ScenarioWorld &)> ScenarioParser::countAction(StatementReader &words)
{
    CountedUse use;
    use.instance = instanceName(words);
    use.team = teamName(words);
    use.customer = CustomerId(words.word("a customer"));
    words.require("prompt");
    use.figures.promptTokens = words.number("prompt tokens");
    words.require("output");
    use.figures.outputTokens = words.number("output tokens");
    use.figures.requests = 1;
    return [use](ScenarioWorld &w) { w.count(use); };
}

std::function<void(ScenarioWorld &)> ScenarioParser::callAction(bool isIdempotent,
                                                                StatementReader &words)
{
    ScenarioCall call;
    call.instance = instanceName(words);
    call.customer = words.word("a customer");
    call.work = words.word("the call's name");
    call.isIdempotent = isIdempotent;
    return [call](ScenarioWorld &w) { w.call(call); };
}

std::function<void(ScenarioWorld &)> ScenarioParser::fleetAction(StatementReader &words)
{
    const Zone zone = readZoneName(words);
    if (zones_.count(zone) == 0)
        throw StatementError("unknown zone '" + zone.domain.text() + "'");
    const auto count = static_cast<std::uint32_t>(words.number("the number of upstreams"));
    return [=](ScenarioWorld &w) { w.want(zone, count); };
}

std::function<void(ScenarioWorld &)> ScenarioParser::storeAction(StatementReader &words)
{
    if (words.accept("down")) {
        words.require("for");
        const Millis span = words.span("the outage");
        return [span](ScenarioWorld &w) { w.storeDown(span); };
    }
    words.require("slow");
    const Millis delay = words.span("the delay");
    words.require("for");
    const Millis span = words.span("the time of it");
    return [=](ScenarioWorld &w) { w.storeSlow(delay, span); };
}

std::function<void(ScenarioWorld &)> ScenarioParser::lossAction(MessageLeg leg,
                                                                StatementReader &words)
{
    const std::string operation = words.word("the operation");
    const std::string subject = words.isAtEnd() ? "" : words.word("the subject");
    const int times = words.accept("times") ? static_cast<int>(words.number("times")) : 1;
    return [=](ScenarioWorld &w) { w.loseNext(operation, subject, leg, times); };
}

std::function<void(ScenarioWorld &)> ScenarioParser::instanceAction(const std::string &keyword,
                                                                    StatementReader &words)
{
    if (keyword == "kill" || keyword == "restart" || keyword == "stop") {
        const std::string name = instanceName(words);
        if (keyword == "kill")
            return [name](ScenarioWorld &w) { w.kill(name); };
        if (keyword == "restart")
            return [name](ScenarioWorld &w) { w.restart(name); };
        return [name](ScenarioWorld &w) { w.instance(name)->stop(); };
    }
    if (keyword == "silence") {
        const std::string name = instanceName(words);
        const std::string endpoint = words.word("the endpoint");
        return [=](ScenarioWorld &w) { w.network.silence(name, endpoint); };
    }
    if (keyword != "pause" && keyword != "cut" && keyword != "lag-reads")
        throw StatementError("unknown action '" + keyword + "'");
    const std::string name = instanceName(words);
    const std::string endpoint = words.accept("from") ? words.word("the endpoint") : "*";
    words.require(keyword == "lag-reads" ? "by" : "for");
    const Millis span = words.span("the span");
    if (keyword == "pause")
        return [=](ScenarioWorld &w) { w.pause(name, span); };
    if (keyword == "cut")
        return [=](ScenarioWorld &w) { w.cut(name, endpoint, span); };
    return [=](ScenarioWorld &w) { w.store.setReadLag(name, span); };
}

void ScenarioParser::readExpectation(Millis at, StatementReader &words, const std::string &line,
                                     int number)
{
    ScenarioExpectation parsed;
    parsed.at = at;
    parsed.line = number;
    parsed.text = line;
    parsed.check = readCheck(words);
    script_.expectations.push_back(std::move(parsed));
}

} // namespace detail
} // namespace cuminrail
