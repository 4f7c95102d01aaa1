#include <doctest/doctest.h>

#include "gateway/peers/FrameRelay.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace cuminrail;

namespace {

/** Instances with links between some of them, which deliver frames at once. */
class RelayNetwork
{
public:
    struct Received
    {
        PeerAddress to;
        PeerAddress from;
        std::string frame;
    };

    void add(const PeerAddress &name)
    {
        FrameRelay::Hooks hooks;
        hooks.transport.send = [this, name](const PeerAddress &to, std::string frame) {
            if (links[name].count(to) == 0)
                direct.insert({name, to});
            frames_.push_back({to, name, std::move(frame)});
        };
        hooks.isLinked = [this, name](const PeerAddress &to) { return links[name].count(to) > 0; };
        instances[name] = std::make_unique<FrameRelay>(name, std::move(hooks));
    }

    void link(const PeerAddress &one, const PeerAddress &other)
    {
        links[one].insert(other);
        links[other].insert(one);
    }

    void run()
    {
        while (!frames_.empty()) {
            const Received next = std::move(frames_.front());
            frames_.pop_front();
            if (const auto arrival = instances.at(next.to)->receive(next.from, next.frame))
                received.push_back({next.to, arrival->from, arrival->frame});
        }
    }

    std::map<PeerAddress, std::unique_ptr<FrameRelay>> instances;
    std::map<PeerAddress, std::set<PeerAddress>> links;
    std::vector<Received> received;
    /** Pairs that had no link when a frame was sent. */
    std::set<std::pair<PeerAddress, PeerAddress>> direct;

private:
    std::deque<Received> frames_;
};

} // namespace

// Guards against a query that goes through a relay and a reply that needs a new link.
TEST_CASE("a frame without a link goes through a relay, and its reply takes the same way back")
{
    RelayNetwork network;
    for (const char *name : {"member", "relay", "owner"})
        network.add(name);
    network.link("member", "relay");
    network.link("relay", "owner");
    network.instances["member"]->setRelays({"relay"});
    network.instances["member"]->transport().send("owner", "query");
    network.run();
    REQUIRE(network.received.size() == 1);
    CHECK(network.received[0].to == "owner");
    CHECK(network.received[0].from == "member");
    CHECK(network.received[0].frame == "query");
    network.instances["owner"]->transport().send("member", "reply");
    network.run();
    REQUIRE(network.received.size() == 2);
    CHECK(network.received[1].to == "member");
    CHECK(network.received[1].from == "owner");
    CHECK(network.direct.empty());
}

// Guards against frames that are lost while no relay is reachable, or pass through one for nothing.
TEST_CASE("a frame is sent directly over an own link, and where no relay is linked")
{
    RelayNetwork network;
    for (const char *name : {"member", "relay", "owner"})
        network.add(name);
    network.instances["member"]->setRelays({"relay"});
    network.instances["member"]->transport().send("owner", "first");
    network.run();
    CHECK(network.direct.count({"member", "owner"}) == 1);
    network.link("member", "owner");
    network.link("member", "relay");
    network.instances["member"]->transport().send("owner", "second");
    network.run();
    CHECK(network.instances["member"]->stats().relayed == 0);
    CHECK(network.received.size() == 2);
}

// Guards against damaged frames, and frames that two relays pass to each other.
TEST_CASE("a relayed frame that is damaged or not from its origin is not passed on")
{
    RelayNetwork network;
    for (const char *name : {"a", "b", "c"})
        network.add(name);
    network.link("a", "b");
    network.instances["a"]->setRelays({"b"});
    std::string frame;
    FrameRelay::Hooks hooks;
    hooks.transport.send = [&](const PeerAddress &, std::string bytes) {
        frame = std::move(bytes);
    };
    hooks.isLinked = [](const PeerAddress &to) { return to == "b"; };
    FrameRelay sender("a", std::move(hooks));
    sender.setRelays({"b"});
    sender.transport().send("c", "payload");
    CHECK_FALSE(network.instances["b"]->receive("other", frame));
    for (std::size_t length = 4; length < frame.size(); ++length)
        CHECK_FALSE(network.instances["b"]->receive("a", frame.substr(0, length)));
    CHECK(network.instances["b"]->stats().forwarded == 0);
    CHECK(network.instances["b"]->stats().refused == frame.size() - 3);
}
