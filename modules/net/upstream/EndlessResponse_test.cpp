#include "net/testing/EndlessUpstream.h"
#include "net/testing/PoolClient.h"

#include <algorithm>
#include <vector>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr std::uint64_t maxBodyBytes = 1024 * 1024;
/** What the kernel takes from the upstream before anybody reads it. */
constexpr std::uint64_t kernelBytes = 6 * 1024 * 1024;

struct Row
{
    EndlessPart part;
    SendSpeed speed;
    UpstreamEndKind end;
    Millis longest;
};

struct Outcome
{
    UpstreamEndKind end = UpstreamEndKind::Complete;
    std::int64_t cutAfter = -1;
    std::uint64_t bytes = 0;
    std::size_t buffered = 0;
};

Outcome outcomeOf(const Row &row)
{
    EndlessRecord record;
    Outcome outcome;
    {
        ScriptedUpstream upstream([&](ScriptedUpstream::Connection &connection) {
            const std::string id = connection.read().header("X-Request-Id");
            const EndlessResponse response =
                endlessResponse(row.part, "X-Request-Id: " + id + "\r\n");
            sendEndlessly(connection.socket, response, row.speed, record);
        });
        UpstreamRequest request = PoolClient::request(upstream.address(), "one");
        request.allowsEndByClose = true;
        request.timeouts.firstByte = Millis(600);
        request.timeouts.stall = Millis(600);
        request.timeouts.total = Millis(1500);
        request.maxBodyBytes = maxBodyBytes;
        PoolClient client;
        const PoolResult result = client.call(request);
        outcome.end = result.end.kind;
        outcome.buffered = result.body.size();
    }
    outcome.cutAfter = record.cutAfter;
    outcome.bytes = record.bytes;
    return outcome;
}

} // namespace

// Guards against calls that last, and memory that grows, for as long as an upstream sends.
TEST_CASE("a response without an end is cut off after a limited time and number of bytes")
{
    const Millis atOnce(500);
    const Millis afterStall(1200);
    const Millis afterTotal(2200);
    const auto malformed = UpstreamEndKind::Malformed;
    const auto silent = UpstreamEndKind::Silent;
    const Row rows[] = {
        {EndlessPart::Head, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::HeadLine, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::InterimResponses, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::ChunkExtension, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::Trailers, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::ChunkedBody, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::CloseDelimitedBody, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::LongBody, SendSpeed::Fast, malformed, atOnce},
        {EndlessPart::Head, SendSpeed::Slow, silent, afterStall},
        {EndlessPart::HeadLine, SendSpeed::Slow, silent, afterStall},
        {EndlessPart::InterimResponses, SendSpeed::Slow, malformed, afterStall},
        {EndlessPart::ChunkExtension, SendSpeed::Slow, silent, afterStall},
        {EndlessPart::Trailers, SendSpeed::Slow, silent, afterStall},
        {EndlessPart::ChunkedBody, SendSpeed::Slow, silent, afterTotal},
        {EndlessPart::CloseDelimitedBody, SendSpeed::Slow, silent, afterTotal},
        // The length that it states is refused.
        {EndlessPart::LongBody, SendSpeed::Slow, malformed, atOnce},
    };
    std::vector<std::future<Outcome>> outcomes;
    outcomes.reserve(std::size(rows));
    for (const Row &row : rows)
        outcomes.push_back(std::async(std::launch::async, outcomeOf, row));
    for (std::size_t i = 0; i < std::size(rows); ++i) {
        const Row &row = rows[i];
        const Outcome outcome = outcomes[i].get();
        CAPTURE(endlessPartNames.name(row.part));
        CAPTURE(sendSpeedNames.name(row.speed));
        CAPTURE(outcome.bytes);
        CAPTURE(outcome.cutAfter);
        CHECK(upstreamEndKindNames.name(outcome.end) == upstreamEndKindNames.name(row.end));
        CHECK(outcome.buffered <= maxBodyBytes);
        CHECK(outcome.bytes <= maxBodyBytes + kernelBytes);
        CHECK(outcome.cutAfter >= 0);
        CHECK(outcome.cutAfter <= row.longest.count());
    }
}
