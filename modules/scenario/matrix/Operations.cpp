#include "scenario/matrix/FaultMatrix.h"

#include <cstdlib>
#include <iostream>

namespace cuminrail {

namespace {

struct OperationText
{
    const char *name;
    const char *text;
};

const char *const orderToPlainEngine = R"(
# Three orders in a row to an engine that does not check fences.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
engine e1 domain kgl-a checks-fence no order-takes 2s
at 10s order e1 change-role decode
at 14s order e1 change-role prefill
at 40s order e1 change-role mixed
end 90s
steps from 10s to 19s
expect engine e1 role mixed
expect holder domain/kgl-a one
)";

const char *const orderToCheckingEngine = R"(
# Three orders in a row to an engine that rejects lower fences.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
engine e1 domain kgl-a checks-fence yes order-takes 2s
at 10s order e1 change-role decode
at 14s order e1 change-role prefill
at 40s order e1 change-role mixed
end 90s
steps from 10s to 19s
expect engine e1 role mixed
expect holder domain/kgl-a one
)";

const char *const slowOrder = R"(
# An order that takes longer than a change of holder, and another order requested meanwhile.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
engine e1 domain kgl-a checks-fence no order-takes 15s
engine e2 domain kgl-a checks-fence yes order-takes 15s
at 10s order e1 change-role decode
at 10s order e2 change-role decode
at 12s order e1 change-role prefill
at 12s order e2 change-role prefill
end 120s
steps from 10s to 13s
expect engine e1 role prefill
expect engine e2 role prefill
)";

const char *const leaseAcquired = R"(
# Three instances start and one of them acquires the lease of the duty.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
engine e1 domain kgl-a checks-fence no
at 1s order e1 change-role decode
end 60s
steps from 0s to 3s
expect engine e1 role decode
expect holder domain/kgl-a one
)";

const char *const leaseHandedOver = R"(
# Two of five instances stop as planned, one after the other, in the middle of orders.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
instance d domain kgl-c
instance e domain kgl-a
engine e1 domain kgl-a checks-fence no
at 8s order e1 change-role decode
at 10s stop a
at 14s order e1 change-role prefill
at 15s stop b
at 45s order e1 change-role mixed
end 90s
steps from 10s to 22s
expect engine e1 role mixed
expect holder domain/kgl-a one
)";

const char *const fleetTarget = R"(
# Three targets for one zone, the second just after the first is declared.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
zone kgl-a reclaimable
at 10s fleet kgl-a reclaimable 4
at 10300ms fleet kgl-a reclaimable 6
at 45s fleet kgl-a reclaimable 2
end 90s
steps from 10s to 13s
expect fleet kgl-a reclaimable 2
expect holder domain/kgl-a one
)";

const char *const usageWindow = R"(
# Two windows from the first count to the last report.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
instance d domain kgl-c
team north
usage-window 10s
at 11s count a north chamber prompt 100 output 10
at 12s count b north chamber prompt 50 output 5
at 18s count a north chamber prompt 7 output 1
at 21s count b north chamber prompt 3 output 1
at 60s count a north chamber prompt 1000 output 1
at 60s count b north chamber prompt 1000 output 1
at 60s count c north chamber prompt 1000 output 1
at 60s count d north chamber prompt 1000 output 1
end 120s
steps from 11s to 32s
expect billed chamber at-most 4160
expect billed chamber at-least 2000
expect holder team/north one
)";

const char *const usageRestarts = R"(
# A window is sealed while one instance cannot write its counters; later all instances are replaced.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
team north
usage-window 10s
at 11s count a north chamber prompt 100 output 10
at 12s count b north chamber prompt 50 output 5
at 12s count c north chamber prompt 20 output 5
at 12s cut b from store for 16s
at 75s restart a
at 80s restart b
at 85s restart c
end 140s
steps from 24s to 28s
expect billed chamber at-most 170
expect holder team/north one
)";

const char *const idempotentCall = R"(
# Idempotent calls at three instances.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
at 10s ask a chamber summary-1
at 10050ms ask b chamber summary-2
at 30s ask a chamber summary-3
at 30s ask b chamber summary-3
at 30s ask c chamber summary-3
end 60s
steps from 10s to 12s
)";

const char *const nonIdempotentCall = R"(
# A non-idempotent call and its caller's duplicates at other instances.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
at 10s lodge a chamber bundle-7
at 10001ms lodge b chamber bundle-7
at 11500ms lodge b chamber bundle-7
at 16s lodge c chamber bundle-7
at 90s lodge c chamber bundle-7
at 91s lodge b chamber bundle-7
at 90s lodge c chamber bundle-8
at 90s lodge b chamber bundle-8
at 92s lodge a chamber bundle-8
at 150s lodge c chamber bundle-9
at 151s lodge b chamber bundle-9
at 152s lodge a chamber bundle-9
end 180s
steps from 10s to 17s
expect call bundle-9 runs 1
)";

const char *const gracefulStop = R"(
# Two of five instances stop as planned with calls in progress.
instance a domain kgl-a
instance b domain kgl-b
instance c domain kgl-c
instance d domain kgl-c
instance e domain kgl-a
team north
usage-window 10s
at 10s count a north chamber prompt 100 output 10
at 10s ask a chamber summary-1
at 10s lodge a chamber bundle-1
at 10001ms stop a
at 11s lodge b chamber bundle-1
at 11s ask b chamber summary-2
at 11001ms stop b
at 14s lodge c chamber bundle-1
end 90s
steps from 10s to 14s
expect holder team/north one
)";

ScenarioScript parseOperation(const OperationText &operation)
{
    Reason lastReason;
    auto script = readScenario(operation.name, operation.text, &lastReason);
    if (script)
        return *script;
    std::cerr << lastReason.toString() << "\n";
    std::abort();
}

} // namespace

const std::vector<ScenarioScript> &FaultMatrix::operations()
{
    static const std::vector<ScenarioScript> all = {
        parseOperation({"order-plain", orderToPlainEngine}),
        parseOperation({"order-checking", orderToCheckingEngine}),
        parseOperation({"order-slow", slowOrder}),
        parseOperation({"lease-taken", leaseAcquired}),
        parseOperation({"lease-handed-over", leaseHandedOver}),
        parseOperation({"fleet-target", fleetTarget}),
        parseOperation({"idempotent-call", idempotentCall}),
        parseOperation({"lodging", nonIdempotentCall}),
        parseOperation({"graceful-stop", gracefulStop}),
        parseOperation({"usage-window", usageWindow}),
        parseOperation({"usage-restarts", usageRestarts}),
    };
    return all;
}

} // namespace cuminrail
