#include "scenario/judge/Judge.h"

#include "scenario/judge/BilledUse.h"

#include <algorithm>
#include <map>
#include <set>

namespace cuminrail {

namespace {

using ReportHook = std::function<void(std::string)>;

/** An engine must not get an order while it executes another, nor a duplicate after a later one. */
void checkConflicts(const ScenarioWorld &world, const ReportHook &report)
{
    for (const auto &[id, engine] : world.engines.engines()) {
        std::vector<std::string> seen;
        for (const ReceivedOrder &received : engine.received) {
            if (!received.accepted)
                continue;
            const std::string &order = received.order.orderId;
            if (!received.interrupted.empty())
                report(id.text() + " got " + order + " while it executed " + received.interrupted);
            const auto known = std::find(seen.begin(), seen.end(), order);
            if (known == seen.end())
                seen.push_back(order);
            else if (known + 1 != seen.end())
                report(id.text() + " got " + order + " again after " + seen.back());
        }
    }
}

/** Once an engine has accepted a holder's order, it must not accept one from a previous holder. */
void checkOrderFences(const ScenarioWorld &world, const ReportHook &report)
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

void checkFleetFences(const ScenarioWorld &world, const ReportHook &report)
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

void checkUsageReports(const ScenarioWorld &world, const ReportHook &report)
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

void checkUsageFences(const ScenarioWorld &world, const ReportHook &report)
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

/** No customer is billed for more than it used. */
void checkBilledUse(const ScenarioWorld &world, const ReportHook &report)
{
    CustomerUsage used;
    for (const CountedUse &use : world.countedUse())
        used[use.customer] += use.figures;
    for (const auto &[customer, billed] : billedUse(world.usage)) {
        const UsageCounters excess = billed.increaseSince(usageOf(used, customer));
        if (!excess.isZero())
            report(customer.text() + " was billed " + std::to_string(excess.promptTokens)
                   + " prompt tokens more than it used");
    }
}

/** Returns the calls that are not idempotent, which must run at most once. */
std::set<std::string> nonIdempotentWork(const ScenarioWorld &world)
{
    std::set<std::string> work;
    for (const ScenarioCall &call : world.calls()) {
        if (!call.isIdempotent)
            work.insert(call.work);
    }
    return work;
}

void checkAtMostOnce(const ScenarioWorld &world, const ReportHook &report)
{
    const std::set<std::string> nonIdempotent = nonIdempotentWork(world);
    std::set<std::string> seen;
    for (const ServiceRun &run : world.service.runs()) {
        if (nonIdempotent.count(run.work) != 0 && !seen.insert(run.work).second)
            report(run.work + " ran again, sent by " + run.from);
    }
}

void checkNotRun(const ScenarioWorld &world, const ReportHook &report)
{
    for (const CallerAnswer &answer : world.answers()) {
        if (answer.verdict != Verdict::NotRun)
            continue;
        for (const ServiceRun &run : world.service.runs()) {
            if (run.attempt == answer.call.attempt)
                report(answer.call.attempt + " was answered as not run, but ran");
        }
    }
}

void checkAnswers(const ScenarioWorld &world, const ReportHook &report)
{
    std::map<std::string, int> answered;
    for (const CallerAnswer &answer : world.answers()) {
        if (++answered[answer.call.attempt] > 1)
            report(answer.call.attempt + " was answered twice");
        if (answer.verdict == Verdict::Ran && answer.body != "done: " + answer.call.work)
            report(answer.call.attempt + " got '" + answer.body + "'");
    }
}

/** Calls may stay unanswered only when their instance was killed, not on a planned stop. */
void checkUnansweredCalls(const ScenarioWorld &world, const ReportHook &report)
{
    std::set<std::string> answered;
    for (const CallerAnswer &answer : world.answers())
        answered.insert(answer.call.attempt);
    for (const ScenarioCall &call : world.calls()) {
        if (answered.count(call.attempt) == 0 && !world.wasKilled(call.life))
            report(call.attempt + " was never answered by " + call.life);
    }
}

void checkCustomers(const ScenarioWorld &world, const ReportHook &report)
{
    std::map<std::string, std::string> customerOfWork;
    for (const ScenarioCall &call : world.calls())
        customerOfWork[call.work] = call.customer;
    for (const ServiceRun &run : world.service.runs()) {
        if (customerOfWork[run.work] != run.customer)
            report(run.work + " ran for " + run.customer);
    }
}

/** In the store's history a lease's fence never decreases, and increases with each new holder. */
void checkLeases(const ScenarioWorld &world, const ReportHook &report)
{
    std::map<std::string, LeaseRecord> lastRecords;
    for (const StoreObject &object : world.store.history()) {
        if (object.path.rfind(DutyLease::path(""), 0) != 0)
            continue;
        const auto record = LeaseRecord::fromText(object.value, nullptr);
        if (!record)
            continue;
        const auto previous = lastRecords.find(object.path);
        const bool isNewHolder = previous != lastRecords.end() && !record->isReleased()
            && !record->isHeldBy(previous->second.holder, previous->second.incarnation);
        if (previous != lastRecords.end() && record->fence < previous->second.fence)
            report(object.path + " fell back to fence " + std::to_string(record->fence));
        if (isNewHolder && record->fence <= previous->second.fence)
            report(object.path + " has a new holder under the old fence "
                   + std::to_string(record->fence));
        lastRecords[object.path] = *record;
    }
}

} // namespace

const std::vector<Promise> &Judge::promises()
{
    static const std::vector<Promise> all = {
        {"an engine never gets conflicting orders", checkConflicts},
        {"orders from a process that has lost its authority have no effect", checkOrderFences},
        {"the platform never gets upstream orders from two who believe to be in charge",
         checkFleetFences},
        {"no usage window is reported with different figures", checkUsageReports},
        {"no usage window is reported by two who believe to be in charge", checkUsageFences},
        {"nobody is billed for more than was used", checkBilledUse},
        {"a non-idempotent request runs at most once", checkAtMostOnce},
        {"a refusal saying not run is true", checkNotRun},
        {"a caller gets the whole answer to its own request", checkAnswers},
        {"no request is cut by a planned change", checkUnansweredCalls},
        {"a request runs only for the customer whose key came with it", checkCustomers},
        {"a lease's fence rises with every holder", checkLeases},
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
