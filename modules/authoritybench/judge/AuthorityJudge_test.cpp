#include "authoritybench/judge/AuthorityJudge.h"

#include "orders/controller/EngineOrderController.h"

#include <doctest/doctest.h>

using namespace cuminrail::authoritybench;
using cuminrail::ordersPerHolder;
using Json = nlohmann::json;

namespace {

Json record(int atMs, const std::string &method, const std::string &target, const Json &body,
            const std::string &note = "", bool ran = true)
{
    return {{"at_ms", atMs},
            {"method", method},
            {"target", target},
            {"headers", {{"x-instance", body.value("fence", 0) == 2 ? "i2" : "i1"}}},
            {"body", body.dump()},
            {"note", note},
            {"ran", ran}};
}

Json lease(int atMs, int fence, const std::string &duty = "orders-east")
{
    return record(atMs, "PUT", "/objects/leases/" + duty,
                  {{"fence", fence}, {"holder", fence == 2 ? "i2" : "i1"}});
}

Json intent(int atMs, const std::string &id)
{
    return record(atMs, "PUT", "/objects/orders/e1", {{"order_id", id}});
}

Json order(int atMs, const std::string &id, int fence, const std::string &note = "")
{
    Json made = record(atMs, "POST", "/control/orders", {{"order_id", id}, {"fence", fence}}, note,
                       note != "busy");
    made["body"] = Json{{"order_id", id}, {"fence", fence * ordersPerHolder + 1}}.dump();
    return made;
}

Json report(int atMs, const std::string &figures, int fence, bool ran = true)
{
    return record(atMs, "POST", "/usage-reports",
                  {{"window_id", "north/1"}, {"sealed_figures", figures}, {"fence", fence}}, "",
                  ran);
}

AuthorityFindings judge(const std::vector<Json> &platform, const std::vector<Json> &engine)
{
    return judgeAuthority(Json{{"records", Json(platform)}}, {Json{{"records", Json(engine)}}});
}

} // namespace

TEST_CASE("a trial in which all went well is good, and its events are counted")
{
    const auto findings = judge({lease(1, 1), intent(2, "a"), lease(10, 2), intent(11, "b"),
                                 report(20, "5", 1), report(21, "5", 1)},
                                {order(3, "a", 1), order(12, "b", 2)});
    CHECK(findings.isGood());
    CHECK(findings.orders == 2);
    CHECK(findings.terms == 2);
    CHECK(findings.reports == 2);
}

TEST_CASE("each way to break authority is found")
{
    const std::vector<Json> granted = {lease(1, 1), intent(2, "a"), lease(10, 2)};
    CHECK(judge(granted, {order(11, "a", 1)}).withoutAuthority == 1);
    CHECK(judge(granted, {order(9, "a", 1)}).withoutAuthority == 0);
    CHECK(judge(granted, {order(9, "b", 1)}).unrecorded == 1);
    CHECK(judge(granted, {order(1, "a", 1)}).unrecorded == 1);
    CHECK(judge(granted, {order(9, "a", 1, "conflict")}).conflicting == 1);
    CHECK(judge(granted, {order(9, "a", 1, "busy")}).conflicting == 1);
    CHECK(judge({report(1, "5", 1), report(2, "6", 1, false)}, {}).conflictingReports == 1);
    const Json usage = lease(3, 2, "usage-north");
    CHECK(judge({usage, report(4, "5", 1)}, {}).reportsWithoutAuthority == 1);
    Json again = lease(12, 2);
    again["body"] = R"({"fence":2,"holder":"i3"})";
    CHECK(judge({lease(1, 1), lease(10, 2), again}, {}).sharedFences == 1);
    CHECK(judge({lease(1, 1), lease(10, 2), again, intent(11, "a")}, {order(13, "a", 2)})
              .withoutAuthority
          == 1);
}
