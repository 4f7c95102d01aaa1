#include "emulation/run/Placement.h"

#include "core/hash/StableHash.h"

#include <algorithm>

namespace cuminrail::emulation {

namespace {

class ProductionPlacement : public Placement
{
public:
    explicit ProductionPlacement(const PlacementWeights &weights) : engines_(weights) { }

    std::optional<EngineChoice> choose(const std::vector<UpstreamPointer> &engines,
                                       const PlacementQuery &query) override
    {
        return engines_.choose(engines, query);
    }
    void dispatched(EngineChoice &choice, const PromptShape &prompt, Millis now) override
    {
        engines_.dispatched(choice, prompt, now);
    }
    void promptRead(EngineChoice &choice, Millis sentAt, Millis now) override
    {
        engines_.promptRead(choice, sentAt, now);
    }
    void handedOver(EngineChoice &choice, const PromptShape &prompt, Millis now) override
    {
        engines_.handedOver(choice, prompt, now);
    }
    void runBegan(EngineChoice &choice, Millis now) override { engines_.runBegan(choice, now); }
    void finished(EngineChoice &choice, bool wasRead, Millis now) override
    {
        engines_.finished(choice, wasRead, now);
    }
    void refused(const std::string &id, Millis now) override { engines_.refused(id, now); }
    EnginePlacement *own() override { return &engines_; }

private:
    EnginePlacement engines_;
};

class BaselinePlacement : public Placement
{
public:
    explicit BaselinePlacement(PlacementKind kind) : kind_(kind) { }

    std::optional<EngineChoice> choose(const std::vector<UpstreamPointer> &engines,
                                       const PlacementQuery &query) override
    {
        const std::uint64_t key = PromptChain::of(*query.prompt).sharedKey;
        const auto decodeEngine = pick(engines, EngineStage::Decode, query, key);
        if (decodeEngine == nullptr)
            return std::nullopt;
        EngineChoice choice;
        choice.engine = decodeEngine;
        if (query.allowsHandOver)
            choice.prefill = pick(engines, EngineStage::Prefill, query, key);
        return choice;
    }
    void dispatched(EngineChoice &choice, const PromptShape &, Millis) override { add(choice, 1); }
    void finished(EngineChoice &choice, bool, Millis) override { add(choice, -1); }

private:
    void add(const EngineChoice &choice, int count)
    {
        openRequests_[choice.engine->entry.id] += count;
        if (choice.prefill)
            openRequests_[choice.prefill->entry.id] += count;
    }

    UpstreamPointer pick(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                         const PlacementQuery &query, std::uint64_t key)
    {
        std::vector<UpstreamPointer> candidates;
        for (const UpstreamPointer &engine : engines) {
            if (engine->entry.stage == stage && query.tried->count(engine->entry.id) == 0)
                candidates.push_back(engine);
        }
        if (candidates.empty())
            return nullptr;
        if (kind_ == PlacementKind::RoundRobin)
            return candidates[nextTurn_++ % candidates.size()];
        const auto cost = [&](const UpstreamPointer &engine) {
            if (kind_ == PlacementKind::CacheAffinity)
                return double(StableHash().add(key).add(engine->entry.id).value());
            return double(openRequests_[engine->entry.id]);
        };
        return *std::min_element(candidates.begin(), candidates.end(),
                                 [&](const auto &a, const auto &b) { return cost(a) < cost(b); });
    }

    PlacementKind kind_;
    std::unordered_map<std::string, int> openRequests_;
    std::size_t nextTurn_ = 0;
};

} // namespace

std::unique_ptr<Placement> makePlacement(PlacementKind kind, const PlacementWeights &weights)
{
    if (kind == PlacementKind::Cuminrail)
        return std::make_unique<ProductionPlacement>(weights);
    return std::make_unique<BaselinePlacement>(kind);
}

} // namespace cuminrail::emulation
