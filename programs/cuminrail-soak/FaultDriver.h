#pragma once

#include "Fleet.h"

#include "core/random/Random.h"
#include "runtime/time/BootClock.h"

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

namespace cuminrail::soak {

/** Every fourth seed has no unplanned fault: there a planned stop may cut nothing at all. */
inline constexpr std::uint64_t calmEvery = 4;

/** Injects one fault after another, as the seed says. */
class FaultDriver
{
public:
    FaultDriver(Fleet &fleet, std::uint64_t seed)
        : fleet_(fleet), random_(seededRandom(seed)), isCalm_(seed % calmEvery == 0)
    { }

    /** Starts gateways that ended again, as the platform does. */
    void reap()
    {
        for (std::size_t i = 0; i < fleet_.gateways.size(); ++i) {
            GatewayProcess &gateway = *fleet_.gateways[i];
            if (!gateway.hasEnded())
                continue;
            if (!gateway.complaint().empty())
                complaints_.push_back(gateway.complaint());
            fleet_.startGateway(i);
        }
    }

    /** Injects the next fault; what it began ends some steps later. */
    void step()
    {
        reap();
        const std::size_t index = random_() % fleet_.gateways.size();
        const std::uint64_t choice = random_() % (isCalm_ ? 2 : 14);
        switch (choice) {
        case 0:
            return planStop(index);
        case 1:
            return fleet_.configure(!isWithdrawn_);
        case 2:
            fleet_.gateways[index]->expectKill();
            return fleet_.gateways[index]->signal(SIGKILL);
        case 3:
            fleet_.gateways[index]->signal(SIGSTOP);
            return;
        case 4:
        case 5:
            return fleet_.onThread([this] { harmLink(); });
        case 6:
            return fleet_.onThread([this] {
                const std::size_t server = anyServer();
                fleet_.forEachProxy(server, [](FaultProxy &proxy) { proxy.resetAll(); });
                fleet_.noteLinkChange(server, fleet_.isLinkHarmed(server));
            });
        case 7:
            return fleet_.onThread([this] { harmStore(); });
        case 8:
            return fleet_.onThread([this] { harmStoreLink(); });
        case 9:
            return fleet_.onThread([this] { changeLeaving(); });
        case 10:
            return fleet_.onThread([this] { restoreStore(); });
        default:
            return fleet_.onThread([this] { changeTemper(); });
        }
    }

    /** Ends all faults. */
    void heal()
    {
        fleet_.onThread([this] {
            fleet_.store->setFault(platform::StoreFault::None);
            fleet_.healGateways();
            for (const auto &proxy : fleet_.storeProxies) {
                proxy->setFault(LinkFault::None);
                proxy->resetAll();
            }
            for (std::size_t i = 0; i < fleet_.servers.size(); ++i) {
                fleet_.forEachProxy(i, [](FaultProxy &proxy) { proxy.setFault(LinkFault::None); });
                fleet_.servers[i]->setFaultRates({});
                if (fleet_.servers[i]->isLeaving())
                    fleet_.restartServer(i);
            }
        });
        for (const auto &gateway : fleet_.gateways)
            gateway->signal(SIGCONT);
        reap();
    }

    /** Withdraws the second customer's key, with everything healed. */
    Millis withdraw()
    {
        isWithdrawn_ = true;
        fleet_.configure(false);
        return bootTime();
    }

    bool isCalm() const { return isCalm_; }
    const std::vector<std::string> &complaints() const { return complaints_; }

private:
    void planStop(std::size_t index)
    {
        for (const auto &gateway : fleet_.gateways)
            gateway->signal(SIGCONT);
        fleet_.gateways[index]->signal(SIGTERM);
    }

    /** A server begins to leave, without a word to the store; one that left starts again. */
    void changeLeaving()
    {
        const auto leaving = std::find_if(fleet_.servers.begin(), fleet_.servers.end(),
                                          [](const auto &server) { return server->isLeaving(); });
        if (leaving == fleet_.servers.end())
            fleet_.servers[anyServer()]->leave();
        else
            fleet_.restartServer(static_cast<std::size_t>(leaving - fleet_.servers.begin()));
    }

    /** The store comes back from its copy, or takes another one. */
    void restoreStore()
    {
        if (random_() % 2 == 0)
            fleet_.store->restore();
        else
            fleet_.store->takeCopy();
    }

    std::size_t anyServer() { return random_() % fleet_.servers.size(); }

    void harmLink()
    {
        const auto fault = static_cast<LinkFault>(random_() % 4);
        const std::size_t index = anyServer();
        fleet_.forEachProxy(index, [fault](FaultProxy &proxy) { proxy.setFault(fault); });
        fleet_.noteLinkChange(index, fault != LinkFault::None);
    }

    void harmStore() { fleet_.store->setFault(static_cast<platform::StoreFault>(random_() % 4)); }

    void harmStoreLink()
    {
        const LinkFault fault = random_() % 2 == 0 ? LinkFault::None : LinkFault::Silence;
        for (const auto &proxy : fleet_.storeProxies) {
            proxy->setFault(fault);
            proxy->resetAll();
        }
    }

    void changeTemper()
    {
        platform::ServerFaultRates temper;
        temper.refuses = static_cast<int>(random_() % 30);
        temper.breaks = static_cast<int>(random_() % 30);
        temper.fails = static_cast<int>(random_() % 20);
        temper.staysSilent = static_cast<int>(random_() % 8);
        temper.asksForBackoff = random_() % 3 == 0 ? static_cast<int>(random_() % 60) : 0;
        fleet_.servers[anyServer()]->setFaultRates(temper);
    }

    Fleet &fleet_;
    RandomHook random_;
    bool isCalm_;
    bool isWithdrawn_ = false;
    std::vector<std::string> complaints_;
};

} // namespace cuminrail::soak
