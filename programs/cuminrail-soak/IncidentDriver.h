#pragma once

#include "Callers.h"
#include "Fleet.h"

#include "core/random/Random.h"
#include "runtime/time/BootClock.h"

namespace cuminrail::soak {

/**
    Sends requests with a part that ends servers, hands most new connections to one gateway for some
    seconds, and lets responses end with their connections, in spans that overlap.
*/
class IncidentDriver
{
public:
    IncidentDriver(Fleet &fleet, Callers &callers, std::uint64_t seed)
        : fleet_(fleet), callers_(callers), random_(seededRandom(seed + 555)),
          fatalAt_(bootTime() + untilKnown), favourAt_(fatalAt_), closeAt_(fatalAt_)
    { }
    ~IncidentDriver() { callers_.favour(-1); }
    IncidentDriver(const IncidentDriver &) = delete;
    IncidentDriver &operator=(const IncidentDriver &) = delete;

    void step()
    {
        const Millis now = bootTime();
        if (now < fatalAt_)
            return;
        if (!isFatal_) {
            isFatal_ = true;
            fleet_.onThread([this] { fleet_.setFatalPart(); });
        }
        for (int i = 0; i < fatalPerStep; ++i)
            sendFatal();
        if (now >= favourAt_) {
            isFavouring_ = !isFavouring_;
            callers_.favour(isFavouring_ ? static_cast<int>(random_() % fleet_.gateways.size())
                                         : -1);
            favourAt_ = now + span();
        }
        if (now >= closeAt_) {
            endsByClose_ = !endsByClose_;
            fleet_.onThread([this] {
                for (std::size_t i = 0; i < fleet_.servers.size(); i += 2)
                    fleet_.servers[i]->setEndsByClose(endsByClose_);
            });
            closeAt_ = now + span();
        }
    }

    /** Returns what of the bound on servers that the part ends is broken. */
    std::vector<std::string> judge() const
    {
        std::vector<std::string> broken;
        const std::size_t crashes = fleet_.crashes().size();
        if (crashes > maxCrashes)
            broken.push_back("one part of prompts ended " + std::to_string(crashes) + " servers");
        return broken;
    }

    int sent() const { return sent_; }

private:
    /** By then all gateways know one another. */
    static constexpr Millis untilKnown = Millis(3000);
    static constexpr int fatalPerStep = 2;
    static constexpr std::size_t maxCrashes = 5;

    Millis span() { return Millis(1500 + static_cast<std::int64_t>(random_() % 2500)); }

    /** Sends a request that nobody waits for. */
    void sendFatal()
    {
        const auto &gateway = fleet_.gateways[random_() % fleet_.gateways.size()];
        testing::TestSocket socket = testing::TestSocket::connectTo(gateway->callersPort);
        if (!socket.isOpen())
            return;
        const std::string id = "fatal-" + std::to_string(sent_++);
        socket.send(platform::promptRequest(
            "/stream/x", id, {"first" + std::to_string(random_() % 3), fatalPart, "tail", id},
            Millis(4000)));
        sockets_.push_back(std::move(socket));
    }

    Fleet &fleet_;
    Callers &callers_;
    RandomHook random_;
    Millis fatalAt_;
    Millis favourAt_;
    Millis closeAt_;
    bool isFatal_ = false;
    bool isFavouring_ = false;
    bool endsByClose_ = false;
    int sent_ = 0;
    std::vector<testing::TestSocket> sockets_;
};

} // namespace cuminrail::soak
