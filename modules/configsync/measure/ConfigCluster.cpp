#include "configsync/measure/ConfigCluster.h"

#include "core/hash/StableHash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace cuminrail {

namespace {

constexpr std::uint64_t kStartWindowMs = 2000;
constexpr const char *kFleetText = R"({"domains":[{"id":"a","region":"r"}]})";
constexpr const char *kTeamText = R"({"customers":[{"id":"c"}]})";

std::string keysText(const std::vector<std::string> &valid,
                     const std::vector<std::string> &withdrawn)
{
    nlohmann::json keys = nlohmann::json::array();
    for (const std::string &hash : valid)
        keys.push_back({{"sha256", hash}, {"customer", "c"}});
    for (const std::string &hash : withdrawn)
        keys.push_back({{"sha256", hash}, {"customer", "c"}, {"withdrawn", true}});
    return nlohmann::json{{"keys", keys}}.dump();
}

} // namespace

std::string virtualSha256(const std::string &text)
{
    std::string digits;
    for (std::uint64_t part = 0; part < 4; ++part) {
        char buffer[17];
        std::snprintf(buffer, sizeof buffer, "%016llx",
                      static_cast<unsigned long long>(StableHash().add(part).add(text).value()));
        digits += buffer;
    }
    return digits;
}

ConfigCluster::ConfigCluster(ClusterShape shape, ConfigSyncConfig config)
    : config_(config), cluster_(shape), network_(cluster_.scheduler()), store_(network_),
      configs_(shape.instances), history_(shape.instances)
{
    // Response time of the platform's store: milliseconds.
    network_.setSlow(FakeObjectStore::endpoint, Millis(3));
}

ConfigSyncHooks ConfigCluster::hooksOf(std::size_t index)
{
    PeerTransport transport;
    transport.send = [this, index](const PeerAddress &to, std::string frame) {
        cluster_.send(index, to, std::move(frame));
    };
    ConfigSyncHooks hooks{
        store_.port(cluster_.at(index).process),
        std::move(transport),
        cluster_.scheduler().clock(),
        cluster_.scheduler().random(),
        [this, index](const Event &event) { cluster_.at(index).events(event); },
        virtualSha256,
        [this, index](const std::shared_ptr<const Settings> &) {
            history_[index].push_back(configs_[index]->generation());
        },
        [] {},
    };
    return hooks;
}

void ConfigCluster::start(std::size_t index)
{
    VirtualInstance &instance = cluster_.at(index);
    // The hooks of the previous incarnation refer to destroyed objects.
    instance.onFact = nullptr;
    instance.onPeerDigest = nullptr;
    instance.onMembersChanged = nullptr;
    instance.onOtherFrame = nullptr;
    instance.onTick = nullptr;
    configs_[index].reset();
    instance.settingsDigest = [this, index](Millis now) {
        return configs_[index] ? configs_[index]->digest(now) : SettingsDigest();
    };
    cluster_.start(index);
    configs_[index] =
        std::make_unique<ConfigSync>(config_, hooksOf(index), cluster_.membership(index));
    ConfigSync &config = *configs_[index];
    instance.onFact = [&config](const UrgentFact &fact) { config.onFact(fact); };
    instance.onPeerDigest = [&config](const PeerDigest &digest) { config.onPeerDigest(digest); };
    instance.onMembersChanged = [&config] { config.onMembersChanged(); };
    instance.onOtherFrame = [&config](FrameChannel, const std::string &frame) {
        config.handleFrame(frame);
    };
    instance.onTick = [&config](Millis) { config.tick(); };
}

void ConfigCluster::startAll()
{
    for (std::size_t i = 0; i < size(); ++i) {
        const auto delay =
            static_cast<std::int64_t>(cluster_.scheduler().random()() % kStartWindowMs);
        cluster_.scheduler().after(Millis(delay), [this, i] { start(i); });
    }
    runFor(Millis(kStartWindowMs));
}

bool ConfigCluster::accepts(std::size_t index, const std::string &keySha256) const
{
    const ConfigSync &config = *configs_[index];
    if (config.settings() == nullptr || !config.freshness(cluster_.now()).mayServe
        || config.withdrawnAhead().count(keySha256) != 0)
        return false;
    const auto &keys = config.settings()->keys;
    return std::any_of(keys.begin(), keys.end(), [&](const CallerKeySettings &key) {
        return key.sha256 == keySha256 && !key.withdrawn;
    });
}

std::uint64_t ConfigCluster::apply(const std::vector<std::string> &validKeys,
                                   const std::vector<std::string> &withdrawnKeys)
{
    return applySubtrees({{"fleet", kFleetText},
                          {"teams/t", kTeamText},
                          {"keys/t", keysText(validKeys, withdrawnKeys)}});
}

std::uint64_t ConfigCluster::applySubtrees(const SettingsSubtrees &subtrees)
{
    SettingsHead head;
    head.generation = ++generation_;
    head.token = "t" + std::to_string(generation_);
    for (const auto &subtree : subtrees) {
        const std::string hash = virtualSha256(subtree.second);
        store_.write(settingsContentPath(hash), subtree.second);
        head.subtrees[subtree.first] = hash;
    }
    store_.write(kSettingsHeadPath, head.toText());
    return generation_;
}

std::size_t ConfigCluster::countInForce(std::uint64_t generation)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < size(); ++i) {
        const bool isRunning = configs_[i] && cluster_.at(i).process->isAlive();
        count += !isRunning || configs_[i]->generation() == generation ? 1 : 0;
    }
    return count;
}

Millis ConfigCluster::runUntilInForce(std::uint64_t generation, Millis limit)
{
    const Millis from = now();
    while (countInForce(generation) < size() && now() < from + limit)
        runFor(Millis(5));
    return now() - from;
}

void ConfigCluster::setStoreUnreachable(std::size_t index, bool cut)
{
    network_.setCut(VirtualCluster::idOf(index).text(), FakeObjectStore::endpoint, cut);
}

void ConfigCluster::setStoreUnavailable(bool isUnavailable)
{
    for (std::size_t i = 0; i < size(); ++i)
        setStoreUnreachable(i, isUnavailable);
}

std::string ConfigCluster::keyHash(std::size_t number)
{
    return virtualSha256("key " + std::to_string(number));
}

} // namespace cuminrail
