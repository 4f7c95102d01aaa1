#include "membership/membership.h"
#include "peerlink/peerlink.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

const SharedSecrets kSecrets{{"a secret for tests, long enough"}};

/** A membership whose transport uses real links on loopback. */
struct LinkedMember
{
    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<Membership> membership;
    std::vector<UrgentFact> facts;
};

/** Members on one io_context; virtual time advances 10 ms each round, independent of the machine.
 */
class LinkedMembers
{
public:
    explicit LinkedMembers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            add(i);
    }

    ~LinkedMembers()
    {
        for (const auto &member : members)
            member->links->stop();
        context_.run_for(std::chrono::milliseconds(100));
    }

    bool runUntil(const std::function<bool()> &holds)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!holds() && std::chrono::steady_clock::now() < limit) {
            context_.run_for(std::chrono::milliseconds(5));
            now_ += Millis(10);
            for (const auto &member : members)
                member->membership->tick(now_);
        }
        return holds();
    }

private:
    // Declared before the members: their timers and sockets use it.
    boost::asio::io_context context_;
    Millis now_{1000};

public:
    std::vector<std::unique_ptr<LinkedMember>> members;

private:
    void add(std::size_t index)
    {
        members.push_back(std::make_unique<LinkedMember>());
        LinkedMember &member = *members.back();
        member.links = std::make_unique<PeerLinks>(context_, PeerLinksConfig(), kSecrets,
                                                   Clock([this] { return now_; }), ignoreEvents());
        MemberRecord self;
        self.id = InstanceId("m" + std::to_string(index));
        self.incarnation = 1;
        self.domain = FailureDomainId("d" + std::to_string(index % 3));
        self.region = RegionId("r");
        self.address = *member.links->listen("127.0.0.1:0", "");
        member.membership =
            std::make_unique<Membership>(MembershipConfig(), self, hooksOf(member, index));
        member.membership->setSeeds({members.front()->membership->self().address});
        member.links->setFrameHandler([this, &member](const PeerAddress &, const std::string &f) {
            if (frameChannel(f) == FrameChannel::Membership)
                member.membership->handleFrame(now_, f);
        });
    }

    MembershipHooks hooksOf(LinkedMember &member, std::size_t index)
    {
        MembershipHooks hooks;
        hooks.transport = member.links->transport();
        hooks.random = seededRandom(index + 1);
        hooks.events = ignoreEvents();
        hooks.settingsDigest = [](Millis) { return SettingsDigest(); };
        hooks.onFact = [&member](const UrgentFact &fact) { member.facts.push_back(fact); };
        return hooks;
    }
};

} // namespace

TEST_CASE("members discover each other and distribute urgent facts over real links")
{
    LinkedMembers all(5);
    REQUIRE(all.runUntil([&] {
        return std::all_of(all.members.begin(), all.members.end(), [](const auto &member) {
            return member->membership->reachability().alive == 5;
        });
    }));
    all.members[4]->membership->broadcast(
        Millis(0), UrgentFact{UrgentFactKind::UpstreamLeaving, "engine-1", 7});
    CHECK(all.runUntil([&] {
        return std::all_of(all.members.begin(), all.members.end() - 1,
                           [](const auto &member) { return member->facts.size() == 1; });
    }));
    for (const auto &member : all.members) {
        CHECK(member->membership->stats().malformedFrames == 0);
        CHECK(member->links->linkCount() <= 8);
    }
}

// A process has ended and its port refuses connections. Its peers detect it over their real links.
TEST_CASE("a member that ended is declared dead over real links")
{
    LinkedMembers all(4);
    REQUIRE(all.runUntil([&] {
        return std::all_of(all.members.begin(), all.members.end(), [](const auto &member) {
            return member->membership->reachability().alive == 4;
        });
    }));
    all.members[3]->links->stop();
    CHECK(all.runUntil([&] {
        return std::all_of(all.members.begin(), all.members.end() - 1, [](const auto &member) {
            const auto view = member->membership->member(InstanceId("m3"));
            return view && view->record.status == MemberStatus::Dead;
        });
    }));
}
