#include "instance/testing/InstanceFixture.h"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <set>
#include <thread>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr std::size_t callerCount = 8;
constexpr std::size_t callsPerCaller = 1250;
/** Out of this many consecutive attempts, one is interrupted at each SendPoint. */
constexpr std::uint64_t faultPeriod = 16;

/** Returns the call number that the request body contains, or 0. */
std::size_t callNumber(const ReceivedRequest &request)
{
    const auto at = request.text.find("call ");
    return at == std::string::npos ? 0 : std::strtoul(request.text.c_str() + at + 5, nullptr, 10);
}

/** Answers calls, except some: resets, closes, or a truncated or late response. */
void unreliableService(ScriptedUpstream::Connection &connection)
{
    for (;;) {
        const ReceivedRequest request = connection.read();
        if (request.text.empty())
            return;
        const std::string response =
            plainResponse(request.header("X-Request-Id"), "{\"ran\":true}");
        switch (callNumber(request) % 40) {
        case 1:
            return connection.socket.reset();
        case 2:
            return;
        case 3:
            connection.socket.send(response.substr(0, response.size() / 2));
            return;
        case 4:
            // No response until the instance times out and closes; the response is sent too late.
            connection.read();
            connection.socket.send(response);
            return;
        default:
            connection.socket.send(response);
        }
    }
}

/** Selects attempts by the numbers of request and attempt in the request id. */
bool isInterrupted(SendPoint point, const UpstreamRequest &request)
{
    const auto dash = request.requestId.find('-');
    const auto number = std::strtoull(request.requestId.c_str() + dash + 1, nullptr, 10);
    const auto attempt =
        std::strtoull(request.requestId.c_str() + request.requestId.rfind('-') + 1, nullptr, 10);
    return (number * 3 + attempt) % faultPeriod == static_cast<std::uint64_t>(point);
}

struct VerdictCounts
{
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    std::size_t ran = 0;
    std::size_t noVerdict = 0;
};

/** Sends calls in sequence. A call answered with the verdict "not-run" is sent again. */
void sendCalls(const RunningInstance &running, std::size_t firstNumber, VerdictCounts &counts,
               std::map<std::size_t, std::string> &lastVerdicts)
{
    TestSocket socket = running.connect();
    for (std::size_t number = firstNumber; number < firstNumber + callsPerCaller; ++number) {
        for (;;) {
            socket.send(request("POST", "/services/lodging/notes", northKey,
                                "call " + std::to_string(number)));
            const std::string response = socket.readMessage();
            const bool isNotRun = contains(response, "X-Cuminrail-Verdict: not-run");
            const bool mayHaveRun = contains(response, "X-Cuminrail-Verdict: may-have-run");
            const bool ran = contains(response, "X-Cuminrail-Verdict: ran");
            ++(isNotRun         ? counts.notRun
                   : mayHaveRun ? counts.mayHaveRun
                   : ran        ? counts.ran
                                : counts.noVerdict);
            lastVerdicts[number] = isNotRun ? "not-run" : mayHaveRun ? "may-have-run" : "ran";
            if (!isNotRun)
                break;
        }
    }
}

} // namespace

// Sends 10,000 calls that are not idempotent while connections are interrupted before, during and
// after a send, and are reset, closed, or answered with truncated or late responses. Callers send
// again on the verdict "not-run": a single wrong one would execute a call twice, for example bill a
// client twice.
TEST_CASE("ten thousand non-idempotent calls run at most once under connection faults")
{
    ScriptedUpstream firstService(unreliableService);
    ScriptedUpstream secondService(unreliableService);
    Settings settings = testSettings({}, {firstService.address(), secondService.address()});
    settings.fleet.services[0].timeout = Millis(30);
    InstanceConfig config = testConfig();
    config.threads = 4;
    RunningInstance running(settings, config, {}, isInterrupted);
    std::array<VerdictCounts, callerCount> counts;
    std::array<std::map<std::size_t, std::string>, callerCount> lastVerdicts;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callerCount; ++i)
        threads.emplace_back(
            [&, i] { sendCalls(running, 1 + i * callsPerCaller, counts[i], lastVerdicts[i]); });
    for (std::thread &thread : threads)
        thread.join();

    std::map<std::size_t, std::size_t> runs;
    for (const ScriptedUpstream *service : {&firstService, &secondService}) {
        for (const ReceivedRequest &received : service->received()) {
            // A request interrupted during its send arrives incomplete and does not count as a run.
            if (contains(received.text, "call "))
                ++runs[callNumber(received)];
        }
    }
    VerdictCounts all;
    std::size_t runTwice = 0;
    std::size_t ranButNotReceived = 0;
    for (std::size_t i = 0; i < callerCount; ++i) {
        all.notRun += counts[i].notRun;
        all.mayHaveRun += counts[i].mayHaveRun;
        all.ran += counts[i].ran;
        all.noVerdict += counts[i].noVerdict;
        for (const auto &[number, verdict] : lastVerdicts[i]) {
            runTwice += runs[number] > 1 ? 1 : 0;
            ranButNotReceived += verdict == "ran" && runs[number] == 0 ? 1 : 0;
        }
    }
    MESSAGE("verdicts: ran ", all.ran, ", may have run ", all.mayHaveRun, ", not run ", all.notRun);
    CHECK(all.ran + all.mayHaveRun == callerCount * callsPerCaller);
    CHECK(all.noVerdict == 0);
    CHECK(runTwice == 0);
    CHECK(ranButNotReceived == 0);
    CHECK(all.mayHaveRun > 0);
}
