#include "peerlink/peerlink.h"

#include <doctest/doctest.h>

#include <string>

using namespace cuminrail;

namespace {

const std::string kOld = "the former secret, long enough";
const std::string kNew = "the newer secret, long enough";
const PeerAddress kA = "10.0.0.1:7100";
const PeerAddress kB = "10.0.0.2:7100";

struct HandshakeRow
{
    const char *name;
    SharedSecrets connecting;
    SharedSecrets accepting;
    bool isAuthenticated;
};

} // namespace

TEST_CASE("the handshake succeeds between ends that share a secret, also during a rotation")
{
    const HandshakeRow rows[] = {
        {"the same", {{kOld}}, {{kOld}}, true},
        {"another", {{kNew}}, {{kOld}}, false},
        {"second line added here", {{kOld, kNew}}, {{kOld}}, true},
        {"second line added there", {{kOld}}, {{kOld, kNew}}, true},
        {"lines exchanged here", {{kNew, kOld}}, {{kOld, kNew}}, true},
        {"lines exchanged there", {{kOld, kNew}}, {{kNew, kOld}}, true},
        {"old line removed there", {{kNew, kOld}}, {{kNew}}, true},
        {"rotated too early", {{kNew, kOld}}, {{kOld}}, false},
    };
    for (const HandshakeRow &row : rows) {
        INFO(row.name);
        AcceptingHandshake accepting(row.accepting, kB);
        ConnectingHandshake connecting(row.connecting, kA, kB);
        const auto response = connecting.respond(accepting.challenge());
        REQUIRE(response);
        const auto result = accepting.accept(*response);
        CHECK(result.has_value() == row.isAuthenticated);
        if (!result)
            continue;
        const auto keys = connecting.finish(result->proof);
        REQUIRE(keys);
        CHECK(result->keys.peer == kA);
        CHECK(result->keys.incoming->open(keys->outgoing->seal("there")) == "there");
        CHECK(keys->incoming->open(result->keys.outgoing->seal("and back")) == "and back");
    }
}

// An attacker records handshake messages and replays them: to the same instance, to another one, or
// back to their sender.
TEST_CASE("replayed, relayed and reflected handshake messages are rejected")
{
    const SharedSecrets secrets{{kOld}};
    AcceptingHandshake first(secrets, kB);
    ConnectingHandshake connecting(secrets, kA, kB);
    const std::string response = *connecting.respond(first.challenge());
    CHECK_FALSE(AcceptingHandshake(secrets, kB).accept(response)); // another challenge
    AcceptingHandshake other(secrets, "10.0.0.3:7100");
    ConnectingHandshake relayed(secrets, kA, kB);
    CHECK_FALSE(other.accept(*relayed.respond(other.challenge()))); // meant for another
    const auto result = first.accept(response);
    REQUIRE(result);
    CHECK_FALSE(connecting.finish(response.substr(32, 32))); // its own proof sent back
    CHECK_FALSE(connecting.finish(""));
    CHECK_FALSE(connecting.finish(std::string(32, '\0')));
    for (std::size_t length = 0; length < response.size(); ++length)
        CHECK_FALSE(first.accept(response.substr(0, length)));
}

// An intermediary replays, alters or drops a frame, or moves it to another connection. If it were
// accepted, a withdrawn suspicion or an old digest would count as new.
TEST_CASE("a frame is accepted only once, unaltered, in order, on its own connection and direction")
{
    const std::string key(32, 'k');
    FrameSeal sender(key);
    FrameSeal receiver(key);
    const std::string one = sender.seal("one");
    const std::string two = sender.seal("two");
    const std::string three = sender.seal("three");
    CHECK(receiver.open(one) == "one");
    CHECK_FALSE(receiver.open(one)); // replayed
    CHECK_FALSE(receiver.open(three)); // one dropped
    std::string altered = two;
    altered.back() = 'x';
    CHECK_FALSE(receiver.open(altered));
    CHECK_FALSE(receiver.open(two.substr(0, two.size() - 1)));
    CHECK_FALSE(receiver.open(""));
    CHECK_FALSE(FrameSeal(std::string(32, 'l')).open(one)); // another connection
    CHECK(receiver.open(two) == "two");
}

TEST_CASE("a secrets file is validated strictly")
{
    CHECK(SharedSecrets::fromText(kOld + "\n")->secrets.size() == 1);
    CHECK(SharedSecrets::fromText(kNew + "\r\n" + kOld)->secrets.front() == kNew);
    std::string three = kOld;
    three.append("\n").append(kNew).append("\n").append(kOld);
    for (const std::string &text :
         {std::string(), std::string("short"), std::string(300, 'x'), three}) {
        Reason reason;
        CHECK_FALSE(SharedSecrets::fromText(text, &reason));
        CHECK(reason.where == "peer secrets");
    }
}
