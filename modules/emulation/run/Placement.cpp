#include "emulation/run/Placement.h"

#include "core/hash/StableHash.h"

#include <algorithm>

namespace cuminrail::emulation {

namespace {

class OwnPlacement : public Placement
{
public:
    explicit OwnPlacement(const PlacementWeights &weights) : engines_(weights) { }

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
        const auto runner = pick(engines, EngineStage::Decode, query, key);
        if (runner == nullptr)
            return std::nullopt;
        EngineChoice choice;
        choice.engine = runner;
        if (query.allowsHandOver)
            choice.prefill = pick(engines, EngineStage::Prefill, query, key);
        return choice;
    }
    void dispatched(EngineChoice &choice, const PromptShape &, Millis) override { add(choice, 1); }
    void finished(EngineChoice &choice, bool, Millis) override { add(choice, -1); }

private:
    void add(const EngineChoice &choice, int count)
    {
        open_[choice.engine->entry.id] += count;
        if (choice.prefill)
            open_[choice.prefill->entry.id] += count;
    }

    UpstreamPointer pick(const std::vector<UpstreamPointer> &engines, EngineStage stage,
                         const PlacementQuery &query, std::uint64_t key)
    {
        std::vector<UpstreamPointer> fitting;
        for (const UpstreamPointer &engine : engines) {
            if (engine->entry.stage == stage && query.tried->count(engine->entry.id) == 0)
                fitting.push_back(engine);
        }
        if (fitting.empty())
            return nullptr;
        if (kind_ == PlacementKind::RoundRobin)
            return fitting[turn_++ % fitting.size()];
        const auto cost = [&](const UpstreamPointer &engine) {
            if (kind_ == PlacementKind::CacheAffinity)
                return double(StableHash().add(key).add(engine->entry.id).value());
            return double(open_[engine->entry.id]);
        };
        return *std::min_element(fitting.begin(), fitting.end(),
                                 [&](const auto &a, const auto &b) { return cost(a) < cost(b); });
    }

    PlacementKind kind_;
    std::unordered_map<std::string, int> open_;
    std::size_t turn_ = 0;
};

} // namespace

std::unique_ptr<Placement> makePlacement(PlacementKind kind, const PlacementWeights &weights)
{
    if (kind == PlacementKind::Cuminrail)
        return std::make_unique<OwnPlacement>(weights);
    return std::make_unique<BaselinePlacement>(kind);
}

} // namespace cuminrail::emulation
