#include "authoritybench/judge/AuthorityJudge.h"

#include "orders/controller/EngineOrderController.h"

#include <map>
#include <optional>

namespace cuminrail::authoritybench {

namespace {

using Json = nlohmann::json;

const char *const ordersLease = "/objects/leases/orders-east";
const char *const usageLease = "/objects/leases/usage-north";
const char *const ordersPrefix = "/objects/orders/";
const char *const reportsTarget = "/usage-reports";

/** A lease that the platform granted to another holder or under another fence, and when. */
struct Grant
{
    std::int64_t atMs = 0;
    std::uint64_t fence = 0;
    std::string holder;
};

Json bodyOf(const Json &record)
{
    return Json::parse(record.at("body").get<std::string>(), nullptr, false);
}

bool tookEffect(const Json &record)
{
    return record.at("ran").get<bool>();
}

std::vector<Grant> grantsOf(const Json &platform, const std::string &lease)
{
    std::vector<Grant> grants;
    for (const Json &record : platform.at("records")) {
        if (record.at("method") != "PUT" || record.at("target") != lease || !tookEffect(record))
            continue;
        const Json body = bodyOf(record);
        Grant grant{record.at("at_ms").get<std::int64_t>(), body.at("fence").get<std::uint64_t>(),
                    body.at("holder").get<std::string>()};
        const bool isNew = grants.empty() || grant.fence != grants.back().fence
            || grant.holder != grants.back().holder;
        if (isNew)
            grants.push_back(std::move(grant));
    }
    return grants;
}

/** Whether another holder or a higher fence had been granted before an instant. */
bool isSuperseded(const std::vector<Grant> &grants, const Json &record, std::uint64_t fence)
{
    const auto sender = record.at("headers").at("x-instance").get<std::string>();
    const auto atMs = record.at("at_ms").get<std::int64_t>();
    bool isOwn = true;
    for (const Grant &grant : grants) {
        if (grant.atMs < atMs)
            isOwn = grant.fence == fence && grant.holder == sender;
    }
    return !isOwn;
}

/** How often a fence was granted to a holder after another one had it. */
std::uint32_t sharedFences(const std::vector<Grant> &grants)
{
    std::uint32_t shared = 0;
    std::map<std::uint64_t, std::string> holders;
    for (const Grant &grant : grants) {
        // A lease given back is written without a holder, under the fence that it had.
        if (grant.holder.empty())
            continue;
        const auto known = holders.emplace(grant.fence, grant.holder).first;
        if (known->second != grant.holder)
            ++shared;
    }
    return shared;
}

/** When each order was first written to the store. */
std::map<std::string, std::int64_t> recordedOrders(const Json &platform)
{
    std::map<std::string, std::int64_t> recorded;
    for (const Json &record : platform.at("records")) {
        const auto target = record.at("target").get<std::string>();
        if (record.at("method") != "PUT" || target.rfind(ordersPrefix, 0) != 0
            || !tookEffect(record))
            continue;
        recorded.emplace(bodyOf(record).at("order_id").get<std::string>(),
                         record.at("at_ms").get<std::int64_t>());
    }
    return recorded;
}

void judgeEngine(const Json &engine, const std::vector<Grant> &grants,
                 const std::map<std::string, std::int64_t> &recorded, AuthorityFindings &findings)
{
    for (const Json &record : engine.at("records")) {
        if (record.at("target") != "/control/orders")
            continue;
        const auto note = record.at("note").get<std::string>();
        if (note == "conflict" || note == "busy")
            ++findings.conflicting;
        if (!tookEffect(record))
            continue;
        ++findings.orders;
        const Json order = bodyOf(record);
        const auto atMs = record.at("at_ms").get<std::int64_t>();
        // An order's fence has the lease's in its upper bits.
        const auto fence = order.at("fence").get<std::uint64_t>() / ordersPerHolder;
        if (isSuperseded(grants, record, fence))
            ++findings.withoutAuthority;
        const auto found = recorded.find(order.at("order_id").get<std::string>());
        if (found == recorded.end() || found->second > atMs)
            ++findings.unrecorded;
    }
}

void judgeReports(const Json &platform, AuthorityFindings &findings)
{
    const std::vector<Grant> grants = grantsOf(platform, usageLease);
    std::map<std::string, std::string> figures;
    for (const Json &record : platform.at("records")) {
        if (record.at("target") != reportsTarget)
            continue;
        const Json report = bodyOf(record);
        const auto [known, isNew] = figures.emplace(report.at("window_id").get<std::string>(),
                                                    report.at("sealed_figures").get<std::string>());
        if (!isNew && known->second != report.at("sealed_figures").get<std::string>())
            ++findings.conflictingReports;
        if (!tookEffect(record))
            continue;
        ++findings.reports;
        if (isSuperseded(grants, record, report.at("fence").get<std::uint64_t>()))
            ++findings.reportsWithoutAuthority;
    }
}

} // namespace

Json AuthorityFindings::toJson() const
{
    return {{"orders", orders},
            {"terms", terms},
            {"reports", reports},
            {"conflicting", conflicting},
            {"without_authority", withoutAuthority},
            {"unrecorded", unrecorded},
            {"shared_fences", sharedFences},
            {"conflicting_reports", conflictingReports},
            {"reports_without_authority", reportsWithoutAuthority},
            {"good", isGood()}};
}

AuthorityFindings judgeAuthority(const Json &platform, const std::vector<Json> &engines)
{
    AuthorityFindings findings;
    const std::vector<Grant> grants = grantsOf(platform, ordersLease);
    const auto recorded = recordedOrders(platform);
    findings.terms = static_cast<std::uint32_t>(grants.size());
    findings.sharedFences = sharedFences(grants) + sharedFences(grantsOf(platform, usageLease));
    for (const Json &engine : engines)
        judgeEngine(engine, grants, recorded, findings);
    judgeReports(platform, findings);
    return findings;
}

} // namespace cuminrail::authoritybench
