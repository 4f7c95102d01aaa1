#include "net/testing/EndlessUpstream.h"
#include "platform/client/PlatformClient.h"
#include "runtime/threads/IoThread.h"

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <vector>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

constexpr std::size_t maxAnswerBytes = 1024 * 1024;
constexpr Millis watchWait(200);
/** What the kernel takes from the platform before anybody reads it. */
constexpr std::uint64_t kernelBytes = 6 * 1024 * 1024;

/** A client on a thread of its own. */
class ClientThread
{
public:
    ClientThread()
    {
        PlatformClientOptions options;
        options.instance = "instance-a";
        options.connectTimeout = Millis(300);
        options.answerTimeout = Millis(500);
        options.maxAnswerBytes = maxAnswerBytes;
        client_ = std::make_unique<PlatformClient>(thread_.io(), thread_.deadlines(), options);
        thread_.start();
    }
    ~ClientThread()
    {
        thread_.stop();
        thread_.join();
        client_->closeAll();
        thread_.runLeftovers();
        client_.reset();
        thread_.runLeftovers();
    }
    ClientThread(const ClientThread &) = delete;
    ClientThread &operator=(const ClientThread &) = delete;

    PlatformAnswer call(const PlatformCall &call)
    {
        const auto promise = std::make_shared<std::promise<PlatformAnswer>>();
        auto future = promise->get_future();
        thread_.run([&] {
            client_->call(call,
                          [promise](const PlatformAnswer &answer) { promise->set_value(answer); });
        });
        return future.get();
    }

private:
    IoThread thread_;
    std::unique_ptr<PlatformClient> client_;
};

struct Row
{
    PlatformCallKind kind;
    EndlessPart part;
    SendSpeed speed;
};

struct Outcome
{
    PlatformAnswer answer;
    std::int64_t cutAfter = -1;
    std::uint64_t bytes = 0;
};

Outcome outcomeOf(const Row &row)
{
    Outcome outcome;
    EndlessRecord record;
    {
        ScriptedUpstream platform([&](ScriptedUpstream::Connection &connection) {
            connection.read();
            sendEndlessly(connection.socket,
                          endlessResponse(row.part, "Content-Type: application/json\r\n"),
                          row.speed, record);
        });
        ClientThread client;
        PlatformCall call;
        call.kind = row.kind;
        call.address = platform.address();
        call.target = "/";
        if (row.kind == PlatformCallKind::Watch)
            call.extraWait = watchWait;
        outcome.answer = client.call(call);
    }
    outcome.cutAfter = record.cutAfter;
    outcome.bytes = record.bytes;
    return outcome;
}

} // namespace

// Guards against an instance that hears no more of the store as one answer of it never ends.
TEST_CASE("a call whose answer has no end is given up and its connection closed")
{
    constexpr Millis longest(2200);
    std::vector<Row> rows;
    std::vector<std::future<Outcome>> outcomes;
    for (const PlatformCallKind kind :
         {PlatformCallKind::Get, PlatformCallKind::List, PlatformCallKind::Watch,
          PlatformCallKind::EngineState, PlatformCallKind::EngineOrder}) {
        for (const SendSpeed speed : {SendSpeed::Fast, SendSpeed::Slow}) {
            for (const EndlessPart part :
                 {EndlessPart::InterimResponses, EndlessPart::ChunkExtension,
                  EndlessPart::ChunkedBody, EndlessPart::LongBody}) {
                rows.push_back({kind, part, speed});
                outcomes.push_back(std::async(std::launch::async, outcomeOf, rows.back()));
            }
        }
    }
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const Row &row = rows[i];
        const Outcome outcome = outcomes[i].get();
        CAPTURE(platformCallKindNames.name(row.kind));
        CAPTURE(endlessPartNames.name(row.part));
        CAPTURE(sendSpeedNames.name(row.speed));
        CHECK_FALSE(outcome.answer.isWhole());
        CHECK(outcome.cutAfter >= 0);
        CHECK(outcome.cutAfter <= longest.count());
        CHECK(outcome.bytes <= maxAnswerBytes + kernelBytes);
    }
}
