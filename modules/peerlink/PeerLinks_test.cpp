#include "peerlink/peerlink.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

using namespace cuminrail;
using boost::asio::ip::tcp;

namespace {

const std::string kSecret = "a secret for tests, long enough";

/** Instances on loopback, on one io_context and a clock that tests move. */
class Bench
{
public:
    struct End
    {
        std::unique_ptr<PeerLinks> links;
        PeerAddress address;
        std::vector<std::string> frames;
        PeerAddress lastFrom;
    };

    ~Bench()
    {
        for (const auto &end : ends_)
            end->links->stop();
        context.run_for(std::chrono::milliseconds(200));
    }

    End &add(const SharedSecrets &secrets, PeerLinksConfig config = PeerLinksConfig())
    {
        ends_.push_back(std::make_unique<End>());
        End &end = *ends_.back();
        end.links = std::make_unique<PeerLinks>(context, config, secrets,
                                                Clock([this] { return now; }), ignoreEvents());
        Reason reason;
        const auto address = end.links->listen("127.0.0.1:0", "", &reason);
        INFO(reason.toString());
        REQUIRE(address);
        end.address = *address;
        end.links->setFrameHandler([&end](const PeerAddress &from, std::string frame) {
            end.lastFrom = from;
            end.frames.push_back(std::move(frame));
        });
        return end;
    }

    /** Runs until something holds; the limit is only there so that a failure ends. */
    bool runUntil(const std::function<bool()> &holds)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!holds() && std::chrono::steady_clock::now() < limit)
            context.run_one_for(std::chrono::milliseconds(20));
        return holds();
    }

    boost::asio::io_context context;
    Millis now{1000000};

private:
    std::vector<std::unique_ptr<End>> ends_;
};

tcp::endpoint endpointOf(const PeerAddress &address)
{
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    return {boost::asio::ip::make_address("127.0.0.1"), port};
}

} // namespace

TEST_CASE("frames go both ways over one connection, made on demand")
{
    Bench bench;
    Bench::End &a = bench.add({{kSecret}});
    Bench::End &b = bench.add({{kSecret}});
    a.links->send(b.address, "question");
    REQUIRE(bench.runUntil([&] { return b.frames.size() == 1; }));
    CHECK(b.frames[0] == "question");
    CHECK(b.lastFrom == a.address);
    b.links->send(a.address, "answer");
    REQUIRE(bench.runUntil([&] { return a.frames.size() == 1; }));
    CHECK(a.frames[0] == "answer");
    CHECK(b.links->stats().dialled == 0);
    const std::string large(FrameLimits::bytes, 'x');
    a.links->send(b.address, large);
    a.links->send(b.address, large + "x"); // over the bound: not sent
    a.links->send(b.address, "last");
    REQUIRE(bench.runUntil([&] { return b.frames.size() == 3; }));
    CHECK(b.frames[1] == large);
    CHECK(b.frames[2] == "last");
    CHECK(a.links->stats().dropped == 1);
}

// Somebody who is no instance reaches the peers' port. It must learn nothing and change nothing,
// and must not hold a connection for ever.
TEST_CASE("a stranger learns nothing, changes nothing and is shown out")
{
    Bench bench;
    Bench::End &a = bench.add({{kSecret}});
    Bench::End &stranger = bench.add({{"some other secret, long enough"}});
    stranger.links->send(a.address, "let me in");
    REQUIRE(bench.runUntil([&] { return a.links->stats().refused == 1; }));
    CHECK(a.frames.empty());
    CHECK(stranger.frames.empty());
    REQUIRE(bench.runUntil([&] { return a.links->linkCount() == 0; }));

    // The other way round: the instance was given a stranger's address. It keeps what it has.
    a.links->send(stranger.address, "for a peer only");
    REQUIRE(bench.runUntil([&] { return stranger.links->stats().refused >= 1; }));
    CHECK(stranger.frames.empty());
}

// A port scanner connects and says nothing, or speaks plain HTTP.
TEST_CASE("connections that are no peers end in time and tell nothing")
{
    Bench bench;
    Bench::End &a = bench.add({{kSecret}});
    tcp::socket http(bench.context);
    http.connect(endpointOf(a.address));
    boost::asio::write(http, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    std::string answer;
    boost::system::error_code ended;
    boost::asio::async_read(
        http, boost::asio::dynamic_buffer(answer),
        [&](const boost::system::error_code &error, std::size_t) { ended = error; });
    REQUIRE(bench.runUntil([&] { return bool(ended); }));
    CHECK(answer.find("404") != std::string::npos);
    CHECK(answer.find("cuminrail") == std::string::npos);
    CHECK(answer.find("WebSocket") == std::string::npos);

    // One that upgrades, hears the challenge and then says nothing.
    tcp::socket mute(bench.context);
    mute.connect(endpointOf(a.address));
    boost::asio::write(
        mute,
        boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                                        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")));
    REQUIRE(bench.runUntil([&] { return a.links->linkCount() == 1; }));
    bench.now += Millis::seconds(4);
    REQUIRE(bench.runUntil([&] { return a.links->linkCount() == 0; }));
    CHECK(a.links->stats().refused == 1);
}

// The secret is changed without a stop: at each step some instances have the new file and some
// the old one, and all must go on hearing each other.
TEST_CASE("the secret is rotated while links are made")
{
    const std::string next = "the next secret, long enough too";
    const std::vector<SharedSecrets> steps = {
        {{kSecret}}, {{kSecret, next}}, {{next, kSecret}}, {{next}}};
    for (std::size_t step = 0; step + 1 < steps.size(); ++step) {
        INFO(step);
        Bench bench;
        Bench::End &before = bench.add(steps[step]);
        Bench::End &after = bench.add(steps[step]);
        after.links->setSecrets(steps[step + 1]);
        before.links->send(after.address, "hello");
        REQUIRE(bench.runUntil([&] { return after.frames.size() == 1; }));
        Bench::End &third = bench.add(steps[step]);
        after.links->send(third.address, "hello");
        REQUIRE(bench.runUntil([&] { return third.frames.size() == 1; }));
    }
}

// A question to a peer is worth an answer within milliseconds; the first one would have to wait
// until a link is set up. Links that will be needed are made before, and only once.
TEST_CASE("a link that was made ahead carries the first frame at once")
{
    Bench bench;
    Bench::End &a = bench.add({{kSecret}});
    Bench::End &b = bench.add({{kSecret}});
    a.links->connect(b.address);
    a.links->connect(b.address);
    REQUIRE(bench.runUntil([&] { return b.links->linkCount() == 1; }));
    REQUIRE(bench.runUntil([&] {
        a.links->connect(b.address);
        a.links->send(b.address, "one");
        return !b.frames.empty();
    }));
    // The other end uses the same link.
    b.links->connect(a.address);
    b.links->send(a.address, "two");
    REQUIRE(bench.runUntil([&] { return !a.frames.empty(); }));
    CHECK(a.links->stats().dialled == 1);
    CHECK(b.links->stats().dialled == 0);
}

// Both ends make a link at the same moment, and one of the two has to make room later. The other
// one serves on; forgotten, every frame would wait for a third.
TEST_CASE("of two links to one peer the one that is left is used")
{
    Bench bench;
    PeerLinksConfig narrow;
    narrow.maxLinks = 2;
    Bench::End &a = bench.add({{kSecret}}, narrow);
    Bench::End &b = bench.add({{kSecret}});
    Bench::End &c = bench.add({{kSecret}});
    a.links->connect(b.address);
    b.links->connect(a.address);
    REQUIRE(bench.runUntil([&] { return a.links->linkCount() == 2 && b.links->linkCount() == 2; }));
    bench.now += Millis(10);
    a.links->send(b.address, "one");
    REQUIRE(bench.runUntil([&] { return !b.frames.empty(); }));
    bench.now += Millis(10);
    a.links->connect(c.address);
    REQUIRE(bench.runUntil([&] { return b.links->linkCount() == 1; }));
    a.links->send(b.address, "two");
    REQUIRE(bench.runUntil([&] { return b.frames.size() == 2; }));
    CHECK(a.links->stats().dialled == 2);
}

// An open connection has gone silent for good: something between the ends lost track of it, and
// there is no end and no reset. New connections work. Without a look at progress every frame
// would go nowhere, and the peer would be declared dead.
TEST_CASE("a connection that went silent is replaced by a new one")
{
    Bench bench;
    Bench::End &a = bench.add({{kSecret}});
    Bench::End &b = bench.add({{kSecret}});
    a.links->send(b.address, "one");
    REQUIRE(bench.runUntil([&] { return b.frames.size() == 1; }));
    const std::uint64_t dialled = a.links->stats().dialled;
    // The clock jumps past the limit without a frame or a pong in between, as if nothing came.
    bench.now += Millis::seconds(11);
    REQUIRE(bench.runUntil([&] { return a.links->stats().silent == 1; }));
    a.links->send(b.address, "two");
    REQUIRE(bench.runUntil([&] { return b.frames.size() == 2; }));
    CHECK(a.links->stats().dialled == dialled + 1);
}

TEST_CASE("a quiet link that answers pings is kept, an idle one is closed")
{
    Bench bench;
    Bench::End &a = bench.add({{kSecret}});
    Bench::End &b = bench.add({{kSecret}});
    a.links->send(b.address, "one");
    REQUIRE(bench.runUntil([&] { return b.frames.size() == 1; }));
    for (std::uint64_t step = 1; step < 10; ++step) {
        bench.now += Millis::seconds(6);
        REQUIRE(bench.runUntil(
            [&] { return a.links->stats().pongs == step && b.links->stats().pongs == step; }));
        CHECK(a.links->linkCount() == 1);
    }
    CHECK(a.links->stats().silent == 0);
    bench.now += Millis::seconds(6);
    REQUIRE(bench.runUntil([&] { return a.links->linkCount() + b.links->linkCount() == 0; }));
    CHECK(a.links->stats().silent == 0);
}

// A peer accepts the connection and never reads, or answers nothing. What is meant for it must
// not pile up in this instance's memory.
TEST_CASE("a peer that never answers costs a bounded queue")
{
    Bench bench;
    PeerLinksConfig config;
    config.maxQueuedFrames = 10;
    Bench::End &a = bench.add({{kSecret}}, config);
    tcp::acceptor silent(bench.context, tcp::endpoint(tcp::v4(), 0));
    const PeerAddress address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    for (int i = 0; i < 100; ++i)
        a.links->send(address, "frame");
    CHECK(a.links->stats().dropped == 90);
    bench.now += Millis::seconds(11);
    REQUIRE(bench.runUntil([&] { return a.links->stats().dropped == 100; }));
    REQUIRE(bench.runUntil([&] { return a.links->linkCount() == 0; }));
}

// More peers are spoken to than there may be connections: the one idle for longest gives way.
TEST_CASE("the number of connections is bounded")
{
    Bench bench;
    PeerLinksConfig config;
    config.maxLinks = 3;
    Bench::End &a = bench.add({{kSecret}}, config);
    std::vector<Bench::End *> others;
    for (int i = 0; i < 6; ++i) {
        others.push_back(&bench.add({{kSecret}}));
        a.links->send(others.back()->address, "hello");
        REQUIRE(bench.runUntil([&] { return others.back()->frames.size() == 1; }));
        CHECK(a.links->linkCount() <= 3);
        bench.now += Millis(10);
    }
    a.links->send(others.front()->address, "again");
    CHECK(bench.runUntil([&] { return others.front()->frames.size() == 2; }));
}

// A peer is down for a moment. What was sent meanwhile arrives when it is back, as long as that is
// soon.
TEST_CASE("a peer that comes back is dialled again")
{
    Bench bench;
    Bench::End &a = bench.add({{kSecret}});
    PeerAddress address;
    {
        tcp::acceptor probe(bench.context, tcp::endpoint(tcp::v4(), 0));
        address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    }
    a.links->send(address, "early");
    REQUIRE(bench.runUntil([&] { return a.links->linkCount() == 0; }));
    PeerLinks late(bench.context, PeerLinksConfig(), {{kSecret}},
                   Clock([&bench] { return bench.now; }), ignoreEvents());
    std::vector<std::string> frames;
    late.setFrameHandler(
        [&](const PeerAddress &, std::string frame) { frames.push_back(std::move(frame)); });
    REQUIRE(late.listen(address, ""));
    bench.now += Millis(600);
    CHECK(bench.runUntil([&] { return frames.size() == 1; }));
    late.stop();
}
