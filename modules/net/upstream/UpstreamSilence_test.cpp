#include "net/testing/PacketDrop.h"
#include "net/testing/PoolClient.h"

#include <chrono>
#include <thread>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

/** What a connection is used for when the other end falls silent. */
enum class Phase : std::uint8_t {
    Idle,
    /** The request is not acknowledged. */
    Sending,
    Waiting,
    /** Half of the response has arrived. */
    Receiving,
};

constexpr NameTable<Phase, 4> phaseNames{{{
    {Phase::Idle, "idle"},
    {Phase::Sending, "sending"},
    {Phase::Waiting, "waiting"},
    {Phase::Receiving, "receiving"},
}}};

struct Row
{
    Phase phase;
    Millis silence;
    /** As UpstreamPoolLimits has it. */
    Millis unacknowledged;
    bool isKept;
};

void sleepFor(Millis duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count()));
}

/** Drops all packets for some time; the kernel has sent its acknowledgements by then. */
void fallSilent(const ScriptedUpstream::Connection &connection, Millis duration)
{
    sleepFor(Millis(100));
    setPacketDrop(connection.socket.handle(), true);
    sleepFor(duration);
    setPacketDrop(connection.socket.handle(), false);
}

/** Serves one request, then another one during which, or before which, it is silent. */
void serveBoth(ScriptedUpstream::Connection &connection, const Row &row)
{
    const auto respond = [&](const ReceivedRequest &request) {
        connection.socket.send(plainResponse(request.header("X-Request-Id"), "whole"));
    };
    respond(connection.read());
    if (row.phase == Phase::Idle || row.phase == Phase::Sending)
        fallSilent(connection, row.silence);
    const ReceivedRequest request = connection.read();
    if (request.text.empty())
        return;
    if (row.phase == Phase::Waiting)
        fallSilent(connection, row.silence);
    if (row.phase != Phase::Receiving) {
        respond(request);
    } else {
        const std::string response = plainResponse(request.header("X-Request-Id"), "whole");
        connection.socket.send(response.substr(0, response.size() - 2));
        fallSilent(connection, row.silence);
        connection.socket.send(response.substr(response.size() - 2));
    }
    connection.read();
}

/** Returns whether the second request was served over the connection of the first. */
bool keepsConnection(const Row &row)
{
    ScriptedUpstream upstream([&](ScriptedUpstream::Connection &connection) {
        if (connection.number > 1)
            return respondToAll(connection);
        serveBoth(connection, row);
    });
    UpstreamPoolLimits limits;
    limits.unacknowledged = row.unacknowledged;
    PoolClient client(limits);
    client.call(PoolClient::request(upstream.address(), "first"));
    if (row.phase == Phase::Sending)
        sleepFor(Millis(300));
    else if (row.phase == Phase::Idle)
        sleepFor(row.silence + Millis(300));
    const PoolResult second = client.call(PoolClient::request(upstream.address(), "second"));
    return second.end.kind == UpstreamEndKind::Complete && second.body == "whole"
        && upstream.connections() == 1;
}

} // namespace

// A sound upstream that falls silent for a second or so must keep its connections. With a time-out
// for unacknowledged bytes, the kernel gives up at the first probe after it, whatever their count.
TEST_CASE("a connection whose other end falls silent is kept for the tolerated time")
{
    const Millis limit = UpstreamPoolLimits().unacknowledged;
    const Row rows[] = {
        {Phase::Idle, Millis(1500), limit, true},
        {Phase::Sending, Millis(1500), limit, true},
        {Phase::Waiting, Millis(1500), limit, true},
        {Phase::Receiving, Millis(1500), limit, true},
        {Phase::Idle, Millis(2500), limit, true},
        {Phase::Sending, Millis(2500), limit, true},
        {Phase::Waiting, Millis(2500), limit, true},
        {Phase::Receiving, Millis(2500), limit, true},
        {Phase::Idle, Millis(2500), Millis(2000), false},
        {Phase::Sending, Millis(2500), Millis(2000), false},
        {Phase::Waiting, Millis(2500), Millis(2000), false},
        {Phase::Receiving, Millis(2500), Millis(2000), false},
    };
    std::vector<std::future<bool>> outcomes;
    outcomes.reserve(std::size(rows));
    for (const Row &row : rows)
        outcomes.push_back(std::async(std::launch::async, keepsConnection, row));
    for (std::size_t i = 0; i < std::size(rows); ++i) {
        CAPTURE(phaseNames.name(rows[i].phase));
        CAPTURE(rows[i].silence.count());
        CAPTURE(rows[i].unacknowledged.count());
        CHECK(outcomes[i].get() == rows[i].isKept);
    }
}
