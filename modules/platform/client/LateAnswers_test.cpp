#include "net/testing/ScriptedUpstream.h"
#include "platform/client/ControlLoop.h"
#include "platform/platform.h"
#include "runtime/time/BootClock.h"

#include <doctest/doctest.h>

#include <deque>

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

/** What an answer states of its call's identity. */
enum class Echo : std::uint8_t { Yes, No };

struct Answer
{
    std::string status;
    std::string body;
};

std::string toWire(const Answer &answer, Echo echo, const std::string &identity)
{
    if (echo == Echo::Yes)
        return plainResponse(identity, answer.body, answer.status);
    return "HTTP/1.1 " + answer.status + "\r\nContent-Length: " + std::to_string(answer.body.size())
        + "\r\n\r\n" + answer.body;
}

/** Answers calls in turn; before the answer to a later call of a connection, the one before again.
 */
class StutteringPlatform
{
public:
    StutteringPlatform(Echo echo, std::deque<Answer> answers)
        : echo_(echo), answers_(std::move(answers)),
          upstream_([this](ScriptedUpstream::Connection &connection) { serve(connection); })
    { }

    std::string address() const { return upstream_.address(); }

private:
    void serve(ScriptedUpstream::Connection &connection)
    {
        std::string repeated;
        for (;;) {
            const ReceivedRequest request = connection.read();
            if (request.text.empty())
                return;
            const std::string own = toWire(next(), echo_, request.header("X-Request-Id"));
            connection.socket.send(repeated + own);
            repeated = own;
        }
    }

    Answer next()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Answer answer{"500 Internal Server Error", "{}"};
        if (!answers_.empty()) {
            answer = answers_.front();
            answers_.pop_front();
        }
        return answer;
    }

    const Echo echo_;
    std::mutex mutex_;
    std::deque<Answer> answers_;
    ScriptedUpstream upstream_;
};

/** A call of an adapter; returns what its caller is told, as text. */
using Call = std::function<std::string(ControlLoop &, const std::string &address)>;

std::string textOf(const StoreReply &reply)
{
    std::string text = "store " + std::to_string(static_cast<int>(reply.status));
    if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict)
        text += " at " + std::to_string(reply.version);
    for (const StoreObject &object : reply.objects)
        text += " " + object.path + "=" + object.value;
    return text;
}

std::string unknownWrite()
{
    return textOf(StoreReply{StoreStatus::Unknown, 0, {}, {}});
}

std::string unavailableRead()
{
    return textOf(StoreReply{StoreStatus::Unavailable, 0, {}, {}});
}

Call get(const std::string &path)
{
    return [path](ControlLoop &loop, const std::string &address) {
        const ObjectStore store = makeHttpObjectStore(loop.client(), address);
        return textOf(loop.await<StoreReply>(
            [&](StoreCompletion done) { store.get(path, std::move(done)); }));
    };
}

Call put(const std::string &path, ObjectVersion expected)
{
    return [path, expected](ControlLoop &loop, const std::string &address) {
        const ObjectStore store = makeHttpObjectStore(loop.client(), address);
        return textOf(loop.await<StoreReply>([&](StoreCompletion done) {
            store.put(StorePut{path, "value", expected}, std::move(done));
        }));
    };
}

Call removal(const std::string &path, ObjectVersion expected)
{
    return [path, expected](ControlLoop &loop, const std::string &address) {
        const ObjectStore store = makeHttpObjectStore(loop.client(), address);
        return textOf(loop.await<StoreReply>(
            [&](StoreCompletion done) { store.remove(path, expected, std::move(done)); }));
    };
}

Call ticket(const std::string &model)
{
    return [model](ControlLoop &loop, const std::string &address) {
        const WeightStore store = makeHttpWeightStore(loop.client(), address);
        const auto reply =
            loop.await<TicketReply>([&](std::function<void(const TicketReply &)> done) {
                store.requestTicket(model, 1, std::move(done));
            });
        return "ticket " + std::to_string(static_cast<int>(reply.status)) + " " + reply.ticket;
    };
}

Call fleet(const std::string &domain)
{
    return [domain](ControlLoop &loop, const std::string &address) {
        const FleetOrdering ordering = makeHttpFleetOrdering(loop.client(), address);
        using Status = std::optional<FleetStatus>;
        const auto status = loop.await<Status>([&](std::function<void(const Status &)> done) {
            ordering.readTarget(FailureDomainId(domain), CostClass(), std::move(done));
        });
        return status ? "fleet " + std::to_string(status->target.count) : std::string("no fleet");
    };
}

Call usage(const std::string &window)
{
    return [window](ControlLoop &loop, const std::string &address) {
        const UsageReceiver receiver = makeHttpUsageReceiver(loop.client(), address);
        UsageReport report;
        report.windowId = window;
        report.sealedFigures = "{}";
        report.notAfter = bootTime() + Millis::minutes(1);
        const auto reply =
            loop.await<OrderReply>([&](std::function<void(const OrderReply &)> done) {
                receiver.report(report, std::move(done));
            });
        return "usage " + std::to_string(static_cast<int>(reply.status));
    };
}

std::string object(const std::string &path, int version, const std::string &value)
{
    return R"({"path":")" + path + R"(","value":")" + value + R"(","version":)"
        + std::to_string(version) + "}";
}

std::string fleetBody(int count)
{
    return R"({"count":)" + std::to_string(count) + R"(,"fence":1,"client_token":"t","running":1})";
}

/** A call, and one after it whose own answer differs. */
struct Row
{
    std::string name;
    Call first;
    Answer firstAnswer;
    Call second;
    Answer secondAnswer;
    /** What the second caller may be told besides its own answer. */
    std::string uncertain;
};

const Answer written7{"200 OK", R"({"version":7})"};
const Answer conflict9{"412 Precondition Failed", R"({"version":9})"};
const Answer missing{"404 Not Found", "{}"};
const Answer limited{"429 Too Many Requests", R"({"retry_after_ms":5})"};

const std::vector<Row> rows = {
    {"a lease's renewal after one that succeeded", put("leases/a", 5), written7, put("leases/a", 7),
     conflict9, unknownWrite()},
    {"a claim's write after another one's", put("claims/a", 0), written7, put("claims/b", 0),
     conflict9, unknownWrite()},
    {"a write after another one's conflict", put("claims/a", 0), conflict9, put("claims/b", 0),
     written7, unknownWrite()},
    {"a write after a read of nothing", get("claims/a"), missing, put("claims/b", 0), written7,
     unknownWrite()},
    {"a write after a call over the limit", get("claims/a"), limited, put("claims/b", 0), written7,
     unknownWrite()},
    {"a removal after another one", removal("claims/a", 3), written7, removal("claims/b", 5),
     conflict9, unknownWrite()},
    {"a read after that of another object",
     get("claims/a"),
     {"200 OK", object("claims/a", 3, "theirs")},
     get("claims/b"),
     {"200 OK", object("claims/b", 5, "own")},
     unavailableRead()},
    {"a read after that of nothing",
     get("claims/a"),
     missing,
     get("claims/b"),
     {"200 OK", object("claims/b", 5, "own")},
     unavailableRead()},
    {"a fleet's target after another one's",
     fleet("north"),
     {"200 OK", fleetBody(3)},
     fleet("south"),
     {"200 OK", fleetBody(8)},
     "no fleet"},
    {"a ticket after another one",
     ticket("small"),
     {"200 OK", R"({"ticket":"theirs"})"},
     ticket("large"),
     limited,
     "ticket " + std::to_string(static_cast<int>(TicketReply().status)) + " "},
};

void checkRow(const Row &row, Echo echo)
{
    CAPTURE(row.name);
    StutteringPlatform quiet(echo, {row.secondAnswer});
    StutteringPlatform platform(echo, {row.firstAnswer, row.secondAnswer});
    ControlLoop loop("instance-a");
    const std::string own = row.second(loop, quiet.address());
    row.first(loop, platform.address());
    const std::string told = row.second(loop, platform.address());
    CAPTURE(own);
    CAPTURE(told);
    CHECK((told == own || told == row.uncertain));
}

} // namespace

// Guards against another call's answer from a platform that does not state whose it is.
TEST_CASE("a platform's late second answer without an identity is not that of the next call")
{
    for (const Row &row : rows)
        checkRow(row, Echo::No);
}

// Guards against another call's answer although it states whose it is.
TEST_CASE("a platform's late second answer with its identity is not that of the next call")
{
    for (const Row &row : rows)
        checkRow(row, Echo::Yes);
}

// Guards against another window's acceptance as a call under authority's own.
TEST_CASE("a late second answer to a usage report is not that of the next one")
{
    for (const Echo echo : {Echo::No, Echo::Yes}) {
        const Row row{"usage",
                      usage("t/1"),
                      {"200 OK", "{}"},
                      usage("t/2"),
                      {"409 Conflict", "{}"},
                      "usage " + std::to_string(static_cast<int>(OrderStatus::Unknown))};
        checkRow(row, echo);
    }
}
