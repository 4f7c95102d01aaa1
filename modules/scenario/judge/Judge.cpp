#include "scenario/judge/Judge.h"

#include "scenario/judge/BilledUse.h"

#include <algorithm>
#include <map>
#include <set>

namespace cuminrail {

namespace {

using Report = std::function<void(std::string)>;

/** No order may meet another one in the engine, nor come again after a later one. */
void judgeConflicts(const ScenarioWorld &world, const Report &report)
{
    for (const auto &[id, engine] : world.engines.engines()) {
        std::vector<std::string> seen;
        for (const ReceivedOrder &received : engine.received) {
            if (!received.accepted)
                continue;
            const std::string &order = received.order.orderId;
            if (!received.interrupted.empty())
                report(id.text() + " got " + order + " while it carried out "
                       + received.interrupted);
            const auto known = std::find(seen.begin(), seen.end(), order);
            if (known == seen.end())
                seen.push_back(order);
            else if (known + 1 != seen.end())
                report(id.text() + " got " + order + " again after " + seen.back());
        }
    }
}

/** Once an engine has done a holder's order, an earlier holder's must not take effect. */
void judgeLostAuthority(const ScenarioWorld &world, const Report &report)
{
    for (const auto &[id, engine] : world.engines.engines()) {
        FenceNumber highest = 0;
        for (const ReceivedOrder &received : engine.received) {
            if (!received.accepted)
                continue;
            if (received.order.fence < highest)
                report(id.text() + " took " + received.order.orderId + " under fence "
                       + std::to_string(received.order.fence) + " after "
                       + std::to_string(highest));
            highest = std::max(highest, received.order.fence);
        }
    }
}

void judgeFleet(const ScenarioWorld &world, const Report &report)
{
    std::map<std::pair<FailureDomainId, CostClass>, FenceNumber> highest;
    for (const ReceivedTarget &received : world.fleet.received()) {
        if (!received.accepted)
            continue;
        FenceNumber &seen = highest[{received.target.domain, received.target.costClass}];
        if (received.target.fence < seen)
            report("the platform took a target for " + received.target.domain.text()
                   + " under fence " + std::to_string(received.target.fence) + " after "
                   + std::to_string(seen));
        seen = std::max(seen, received.target.fence);
    }
}

void judgeUsageFigures(const ScenarioWorld &world, const Report &report)
{
    std::map<std::string, std::string> figures;
    for (const ReceivedReport &received : world.usage.received()) {
        const UsageReport &sealed = received.report;
        const auto first = figures.emplace(sealed.windowId, sealed.sealedFigures).first;
        if (first->second != sealed.sealedFigures)
            report(sealed.windowId + " was reported as " + first->second + " and as "
                   + sealed.sealedFigures);
    }
}

void judgeUsageHolder(const ScenarioWorld &world, const Report &report)
{
    std::map<std::string, FenceNumber> highest;
    for (const ReceivedReport &received : world.usage.received()) {
        if (!received.accepted)
            continue;
        const std::string &window = received.report.windowId;
        FenceNumber &seen = highest[window.substr(0, window.find('/'))];
        if (received.report.fence < seen)
            report(window + " was taken under fence " + std::to_string(received.report.fence)
                   + " after " + std::to_string(seen));
        seen = std::max(seen, received.report.fence);
    }
}

/** Nobody is billed for more than was used. */
void judgeBill(const ScenarioWorld &world, const Report &report)
{
    CustomerUsage used;
    for (const CountedUse &use : world.countedUse())
        used[use.customer] += use.figures;
    for (const auto &[customer, billed] : billedUse(world.usage)) {
        const UsageCounters more = billed.increaseSince(usageOf(used, customer));
        if (!more.isZero())
            report(customer.text() + " was billed " + std::to_string(more.promptTokens)
                   + " prompt tokens more than it used");
    }
}

/** The calls that callers marked as not to be run twice. */
std::set<std::string> nonIdempotentWork(const ScenarioWorld &world)
{
    std::set<std::string> work;
    for (const ScenarioCall &call : world.calls()) {
        if (!call.isIdempotent)
            work.insert(call.work);
    }
    return work;
}

void judgeAtMostOnce(const ScenarioWorld &world, const Report &report)
{
    const std::set<std::string> once = nonIdempotentWork(world);
    std::set<std::string> seen;
    for (const ServiceRun &run : world.service.runs()) {
        if (once.count(run.work) != 0 && !seen.insert(run.work).second)
            report(run.work + " ran again, sent by " + run.from);
    }
}

void judgeNotRun(const ScenarioWorld &world, const Report &report)
{
    for (const CallerAnswer &answer : world.answers()) {
        if (answer.verdict != Verdict::NotRun)
            continue;
        for (const ServiceRun &run : world.service.runs()) {
            if (run.attempt == answer.call.attempt)
                report(answer.call.attempt + " was told not run, and ran");
        }
    }
}

void judgeAnswers(const ScenarioWorld &world, const Report &report)
{
    std::map<std::string, int> answered;
    for (const CallerAnswer &answer : world.answers()) {
        if (++answered[answer.call.attempt] > 1)
            report(answer.call.attempt + " was answered twice");
        if (answer.verdict == Verdict::Ran && answer.body != "done: " + answer.call.work)
            report(answer.call.attempt + " got '" + answer.body + "'");
    }
}

/** Only an instance that dies leaves its callers without an answer; a planned stop does not. */
void judgeCutCalls(const ScenarioWorld &world, const Report &report)
{
    std::set<std::string> answered;
    for (const CallerAnswer &answer : world.answers())
        answered.insert(answer.call.attempt);
    for (const ScenarioCall &call : world.calls()) {
        if (answered.count(call.attempt) == 0 && !world.wasKilled(call.life))
            report(call.attempt + " was never answered by " + call.life);
    }
}

void judgeCustomers(const ScenarioWorld &world, const Report &report)
{
    std::map<std::string, std::string> owner;
    for (const ScenarioCall &call : world.calls())
        owner[call.work] = call.customer;
    for (const ServiceRun &run : world.service.runs()) {
        if (owner[run.work] != run.customer)
            report(run.work + " ran for " + run.customer);
    }
}

/** By the store's own history a lease's fence only rises, and rises with every new holder. */
void judgeLeases(const ScenarioWorld &world, const Report &report)
{
    std::map<std::string, LeaseRecord> last;
    for (const StoreObject &object : world.store.history()) {
        if (object.path.rfind(DutyLease::path(""), 0) != 0)
            continue;
        const auto record = LeaseRecord::fromText(object.value, nullptr);
        if (!record)
            continue;
        const auto before = last.find(object.path);
        const bool isNewHolder = before != last.end() && !record->isReleased()
            && !record->isHeldBy(before->second.holder, before->second.incarnation);
        if (before != last.end() && record->fence < before->second.fence)
            report(object.path + " went back to fence " + std::to_string(record->fence));
        if (isNewHolder && record->fence <= before->second.fence)
            report(object.path + " has a new holder under the old fence "
                   + std::to_string(record->fence));
        last[object.path] = *record;
    }
}

} // namespace

const std::vector<Promise> &Judge::promises()
{
    static const std::vector<Promise> all = {
        {"an engine never gets conflicting orders", judgeConflicts},
        {"orders from a process that has lost its authority have no effect", judgeLostAuthority},
        {"the platform never gets upstream orders from two who believe to be in charge",
         judgeFleet},
        {"no usage window is reported with different figures", judgeUsageFigures},
        {"no usage window is reported by two who believe to be in charge", judgeUsageHolder},
        {"nobody is billed for more than was used", judgeBill},
        {"a non-idempotent request runs at most once", judgeAtMostOnce},
        {"a refusal saying not run is true", judgeNotRun},
        {"a caller gets the whole answer to its own request", judgeAnswers},
        {"no request is cut by a planned change", judgeCutCalls},
        {"a request runs only for the customer whose key came with it", judgeCustomers},
        {"a lease's fence rises with every holder", judgeLeases},
    };
    return all;
}

std::vector<Breach> Judge::judge(const ScenarioWorld &world)
{
    std::vector<Breach> breaches;
    for (const Promise &promise : promises())
        promise.check(world, [&](const std::string &evidence) {
            breaches.push_back(Breach{promise.name, evidence});
        });
    return breaches;
}

} // namespace cuminrail
