#include <doctest/doctest.h>

#include "carriage/testing/CarriagePair.h"

using namespace cuminrail;
using namespace cuminrail::testing;

namespace {

CarriedEnd complete()
{
    CarriedEnd end;
    end.result = CarriedResult::Complete;
    end.sends = 1;
    return end;
}

std::string bytes(std::size_t size)
{
    std::string text(size, ' ');
    for (std::size_t i = 0; i < size; ++i)
        text[i] = static_cast<char>('a' + i % 23);
    return text;
}

} // namespace

TEST_CASE("bodies of any size arrive whole, with no more than a window under way")
{
    for (const std::size_t size : {std::size_t(0), std::size_t(1), CarriageLimits::chunk,
                                   CarriageLimits::window, std::size_t(1000003)}) {
        CAPTURE(size);
        CarriagePair pair;
        pair.start(bytes(size));
        pair.run();
        REQUIRE(pair.arrived.size() == 1);
        CHECK(pair.arrived[0]->body() == bytes(size));
        pair.arrived[0]->sendHead(200, {}, false);
        pair.arrived[0]->write(bytes(size));
        pair.arrived[0]->finish(complete());
        pair.run();
        CHECK(pair.status == 200);
        CHECK(pair.received == bytes(size));
        REQUIRE(pair.ends.size() == 1);
        CHECK(pair.ends[0].result == CarriedResult::Complete);
        CHECK(pair.mostBytesUnderWay < CarriageLimits::window * 5 / 4);
        CHECK(pair.outgoing.size() + pair.incoming.size() == 0);
    }
}

// A caller who does not read must not make the carrier or the link hold the whole response.
TEST_CASE("a response that is not taken stops at the carrier after a window")
{
    CarriagePair pair;
    const CarriedCallId call = pair.start("x");
    pair.run();
    pair.outgoing.pause(call);
    pair.arrived[0]->sendHead(200, {}, true);
    pair.arrived[0]->write(bytes(CarriageLimits::window * 3));
    bool isWritable = false;
    pair.arrived[0]->onWritable([&] { isWritable = true; });
    pair.run();
    CHECK(pair.received.size() == CarriageLimits::window);
    CHECK(pair.arrived[0]->isCongested());
    CHECK_FALSE(isWritable);
    pair.outgoing.resume(call);
    pair.arrived[0]->finish(complete());
    pair.run();
    CHECK(pair.received.size() == CarriageLimits::window * 3);
    CHECK(pair.ends.size() == 1);
}

// Only the carrier's word says that a request was not run.
TEST_CASE("a message lost on the way ends a request as lost, never as whole or not run")
{
    const std::size_t size = CarriageLimits::window * 2;
    for (std::size_t lost = 0; lost < 40; ++lost) {
        CAPTURE(lost);
        CarriagePair pair;
        pair.start(bytes(size));
        std::size_t passed = 0;
        bool hasResponded = false;
        while (!pair.frames.empty()) {
            if (passed++ == lost)
                pair.frames.pop_front();
            else
                pair.step();
            if (!pair.arrived.empty() && !hasResponded) {
                hasResponded = true;
                pair.arrived[0]->sendHead(200, {}, false);
                pair.arrived[0]->write(bytes(size));
                pair.arrived[0]->finish(complete());
            }
        }
        pair.outgoing.linkClosed("carrier");
        pair.incoming.linkClosed("origin");
        REQUIRE(pair.ends.size() == 1);
        const CarriedResult result = pair.ends[0].result;
        const bool isWhole = pair.received == bytes(size);
        CHECK((result != CarriedResult::Complete || isWhole));
        CHECK((result != CarriedResult::Declined || pair.arrived.empty()));
        CHECK(result != CarriedResult::NotRun);
        CHECK(pair.outgoing.size() + pair.incoming.size() == 0);
    }
}

TEST_CASE("the carrier learns that a caller left or that the link ended, once")
{
    for (const bool isLinkClosed : {false, true}) {
        CarriagePair pair;
        const CarriedCallId call = pair.start("x");
        pair.run();
        int abandoned = 0;
        pair.arrived[0]->onAbandoned([&] { ++abandoned; });
        if (isLinkClosed)
            pair.incoming.linkClosed("origin");
        else
            pair.outgoing.cancel(call);
        pair.run();
        pair.incoming.linkClosed("origin");
        CHECK(abandoned == 1);
        pair.arrived[0]->write("late");
        pair.arrived[0]->finish(complete());
        CHECK(pair.frames.empty());
        CHECK(pair.incoming.size() == 0);
    }
}

TEST_CASE("a carrier declines what it cannot run, and keeps its bounds")
{
    CarriagePair pair(IncomingCalls::Bounds{2, 1000});
    pair.refusal = "not ready";
    pair.start("x");
    pair.run();
    REQUIRE(pair.ends.size() == 1);
    CHECK(pair.ends[0].result == CarriedResult::Declined);
    pair.refusal.clear();
    pair.start(bytes(600));
    pair.start(bytes(600));
    pair.start(bytes(100));
    pair.start(bytes(100));
    pair.run();
    CHECK(pair.arrived.size() == 2);
    CHECK(pair.ends.size() == 3);
    CHECK_FALSE(pair.incoming.hasRoom());
}

// A head that does not fit into a message must not leave the caller waiting.
TEST_CASE("a request whose head is too large is not handed over")
{
    CarriagePair pair;
    CarriedOpen open;
    open.fields.assign(3, {"X-Large", bytes(CarriageLimits::text)});
    CHECK_FALSE(pair.tryStart("x", open));
    CHECK(pair.frames.empty());
    CHECK(pair.outgoing.size() == 0);
}

TEST_CASE("a response without its head is lost, not complete")
{
    CarriagePair pair;
    pair.start("x");
    pair.run();
    pair.arrived[0]->finish(complete());
    pair.run();
    REQUIRE(pair.ends.size() == 1);
    CHECK(pair.ends[0].result == CarriedResult::Lost);
}

// Guards against a second response inside the one that the other instance passes on.
TEST_CASE(
    "a call out of a carried response's order ends it as truncated, and nothing of it arrives")
{
    struct Row
    {
        const char *name;
        std::function<void(IncomingCall &)> call;
        std::string received;
    };
    const std::string large = bytes(CarriageLimits::window * 2);
    const auto beginWithEvent = [](IncomingCall &call) {
        call.sendHead(200, {}, true);
        call.write("event");
    };
    for (const Row &row :
         {Row{"a second head",
              [&](IncomingCall &call) {
                  beginWithEvent(call);
                  call.sendHead(500, {}, false);
                  call.write("failed");
                  call.finish(complete());
              },
              "event"},
          Row{"a body before its head", [](IncomingCall &call) { call.write("event"); }, ""},
          Row{"a body after the end",
              [&](IncomingCall &call) {
                  call.sendHead(200, {}, true);
                  call.write(large);
                  call.finish(complete());
                  call.write("late");
              },
              large},
          Row{"a second end",
              [&](IncomingCall &call) {
                  call.sendHead(200, {}, true);
                  call.write(large);
                  call.finish(complete());
                  call.finish(complete());
              },
              large}}) {
        CAPTURE(std::string(row.name));
        CarriagePair pair;
        pair.start("x");
        pair.run();
        row.call(*pair.arrived[0]);
        pair.run();
        REQUIRE(pair.ends.size() == 1);
        CHECK(pair.ends[0].result == CarriedResult::Truncated);
        CHECK(pair.received == row.received);
        CHECK(pair.status != 500);
        CHECK(pair.faults.size() == 1);
        CHECK(pair.outgoing.size() + pair.incoming.size() == 0);
    }
}

// Guards against a carrier, of any build, whose frames would be taken for the rest of a response.
TEST_CASE("a carried response whose frames come in the wrong order is lost")
{
    enum class Frame : std::uint8_t { Head, Body, End };
    struct Row
    {
        const char *name;
        std::vector<Frame> frames;
        std::string received;
    };
    for (const Row &row :
         {Row{"a second head", {Frame::Head, Frame::Body, Frame::Head, Frame::Body}, "event"},
          Row{"a body before its head", {Frame::Body, Frame::Head, Frame::End}, ""},
          Row{"an end without a head", {Frame::End, Frame::Head, Frame::Body}, ""}}) {
        CAPTURE(std::string(row.name));
        CarriagePair pair;
        const CarriedCallId call = pair.start("x");
        pair.run();
        std::uint64_t sent = 0;
        for (const Frame frame : row.frames) {
            if (frame == Frame::Head)
                pair.outgoing.handle("carrier", CarriedHead{call, 200, true, {}});
            if (frame == Frame::Body) {
                pair.outgoing.handle("carrier", CarriedChunk{call, true, sent, "event"});
                sent += 5;
            }
            if (frame == Frame::End) {
                CarriedEnd end = complete();
                end.call = call;
                end.bytes = sent;
                pair.outgoing.handle("carrier", end);
            }
        }
        REQUIRE(pair.ends.size() == 1);
        CHECK(pair.ends[0].result == CarriedResult::Lost);
        CHECK(pair.received == row.received);
        CHECK(pair.outgoing.size() == 0);
    }
}

// Guards against a second run by an open message that comes again, early or late.
TEST_CASE("a request whose open message comes again is run once")
{
    for (const bool hasEnded : {false, true}) {
        CAPTURE(hasEnded);
        CarriagePair pair;
        pair.start("");
        const auto first = pair.frames.front();
        pair.run();
        REQUIRE(pair.arrived.size() == 1);
        if (hasEnded) {
            pair.arrived[0]->sendHead(200, {}, false);
            pair.arrived[0]->finish(complete());
        }
        pair.frames.push_back(first);
        pair.run();
        CHECK(pair.arrived.size() == 1);
        pair.start("y");
        pair.run();
        CHECK(pair.arrived.size() == 2);
    }
}

// Guards against "not run" from a carrier whose upstream has begun to respond.
TEST_CASE("a carrier that began a response cannot decline the request")
{
    for (const CarriedResult result : {CarriedResult::Declined, CarriedResult::NotRun}) {
        CAPTURE(carriedResultNames.name(result));
        CarriagePair pair;
        const CarriedCallId call = pair.start("x");
        pair.run();
        CarriedEnd end;
        end.call = call;
        end.result = result;
        pair.outgoing.handle("carrier", CarriedHead{call, 200, true, {}});
        pair.outgoing.handle("carrier", end);
        REQUIRE(pair.ends.size() == 1);
        CHECK(pair.ends[0].result == CarriedResult::Lost);
    }
}

// Guards against a request that is dropped because its open message was overtaken by a later one.
TEST_CASE("an open message that a later one overtook is run")
{
    CarriagePair pair;
    pair.start("");
    pair.start("");
    std::swap(pair.frames[0], pair.frames[1]);
    pair.run();
    CHECK(pair.arrived.size() == 2);
}
