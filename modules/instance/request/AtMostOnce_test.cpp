#include "instance/testing/InstanceFixture.h"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <set>
#include <thread>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr std::size_t callers = 8;
constexpr std::size_t callsEach = 1250;
/** Every so many attempts, one is cut at each of the points of a send. */
constexpr std::uint64_t faultPeriod = 16;

/** Returns the number of a call, which stands in its body. */
std::size_t numberOf(const ReceivedRequest &request)
{
    const auto at = request.text.find("call ");
    return at == std::string::npos ? 0 : std::strtoul(request.text.c_str() + at + 5, nullptr, 10);
}

/** Runs calls, but for some resets, ends without a word, says half or falls silent. */
void unreliableService(ScriptedUpstream::Connection &connection)
{
    for (;;) {
        const ReceivedRequest request = connection.read();
        if (request.text.empty())
            return;
        const std::string answer = plainResponse(request.header("X-Request-Id"), "{\"ran\":true}");
        switch (numberOf(request) % 40) {
        case 1:
            return connection.socket.reset();
        case 2:
            return;
        case 3:
            connection.socket.send(answer.substr(0, answer.size() / 2));
            return;
        case 4:
            // Silent until the instance gives up; then the answer comes, too late.
            connection.read();
            connection.socket.send(answer);
            return;
        default:
            connection.socket.send(answer);
        }
    }
}

/** Cuts attempts by their number, which the instance puts into the request's identity. */
bool isCut(SendPoint point, const UpstreamRequest &request)
{
    const auto dash = request.requestId.find('-');
    const auto number = std::strtoull(request.requestId.c_str() + dash + 1, nullptr, 10);
    const auto attempt =
        std::strtoull(request.requestId.c_str() + request.requestId.rfind('-') + 1, nullptr, 10);
    return (number * 3 + attempt) % faultPeriod == static_cast<std::uint64_t>(point);
}

struct Told
{
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    std::size_t ran = 0;
    std::size_t nothing = 0;
};

/** Sends calls one after the other; one that is told "not run" is sent again until it is not. */
void callMany(const RunningInstance &running, std::size_t first, Told &told,
              std::map<std::size_t, std::string> &last)
{
    TestSocket socket = running.connect();
    for (std::size_t number = first; number < first + callsEach; ++number) {
        for (;;) {
            socket.send(request("POST", "/services/lodging/notes", northKey,
                                "call " + std::to_string(number)));
            const std::string answer = socket.readMessage();
            const bool isNotRun = contains(answer, "X-Cuminrail-Verdict: not-run");
            const bool mayHaveRun = contains(answer, "X-Cuminrail-Verdict: may-have-run");
            const bool ran = contains(answer, "X-Cuminrail-Verdict: ran");
            ++(isNotRun         ? told.notRun
                   : mayHaveRun ? told.mayHaveRun
                   : ran        ? told.ran
                                : told.nothing);
            last[number] = isNotRun ? "not-run" : mayHaveRun ? "may-have-run" : "ran";
            if (!isNotRun)
                break;
        }
    }
}

} // namespace

// Ten thousand notes are sent while connections are cut before, during and after each send, reset,
// answered by half, answered late or never. Whoever is told "not run" sends again, as callers do:
// if that were untrue once, a client would be billed twice.
TEST_CASE("ten thousand calls that may not be repeated run at most once")
{
    ScriptedUpstream one(unreliableService);
    ScriptedUpstream other(unreliableService);
    Settings settings = testSettings({}, {one.address(), other.address()});
    settings.fleet.services[0].timeout = Millis(30);
    InstanceConfig config = testConfig();
    config.threads = 4;
    RunningInstance running(settings, config, {}, isCut);
    std::array<Told, callers> told;
    std::array<std::map<std::size_t, std::string>, callers> last;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i)
        threads.emplace_back([&, i] { callMany(running, 1 + i * callsEach, told[i], last[i]); });
    for (std::thread &thread : threads)
        thread.join();

    std::map<std::size_t, std::size_t> runs;
    for (const ScriptedUpstream *service : {&one, &other}) {
        for (const ReceivedRequest &received : service->received()) {
            // A request that was cut midway has not reached the service whole, and is not run.
            if (contains(received.text, "call "))
                ++runs[numberOf(received)];
        }
    }
    Told all;
    std::size_t runTwice = 0;
    std::size_t ranButNotSeen = 0;
    for (std::size_t i = 0; i < callers; ++i) {
        all.notRun += told[i].notRun;
        all.mayHaveRun += told[i].mayHaveRun;
        all.ran += told[i].ran;
        all.nothing += told[i].nothing;
        for (const auto &[number, verdict] : last[i]) {
            runTwice += runs[number] > 1 ? 1 : 0;
            ranButNotSeen += verdict == "ran" && runs[number] == 0 ? 1 : 0;
        }
    }
    MESSAGE("told ran ", all.ran, ", may have run ", all.mayHaveRun, ", not run ", all.notRun);
    CHECK(all.ran + all.mayHaveRun == callers * callsEach);
    CHECK(all.nothing == 0);
    CHECK(runTwice == 0);
    CHECK(ranButNotSeen == 0);
    CHECK(all.mayHaveRun > 0);
}
