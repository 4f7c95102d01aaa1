#include "emulation/load/ArrivalPlan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace cuminrail::emulation {

namespace {

using Generator = std::mt19937_64;

double draw(Generator &random, const SizeSpread &size)
{
    if (size.spread <= 0)
        return std::min(size.mean, size.most);
    // The mean of a log-normal lies above its median by half of the squared spread.
    const double logMedian = std::log(size.mean) - size.spread * size.spread / 2;
    std::lognormal_distribution<double> sizes(logMedian, size.spread);
    return std::clamp(sizes(random), 1.0, size.most);
}

/** One pool of shared parts, with the size and the use frequency of each part. */
struct Parts
{
    /** Includes the seed, so that placement by hash differs between seeds as well. */
    std::string name;
    std::vector<std::uint32_t> tokens;
    std::discrete_distribution<std::size_t> choice;
};

Parts drawParts(Generator &random, const SharedParts &shared)
{
    Parts parts;
    std::vector<double> weights;
    for (int i = 0; i < shared.count; ++i) {
        parts.tokens.push_back(static_cast<std::uint32_t>(draw(random, shared.tokens)));
        weights.push_back(std::pow(double(i + 1), -shared.skew));
    }
    parts.choice = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    return parts;
}

double factorAt(const LoadPlan &plan, const LoadKind &kind, double time)
{
    double factor = 1;
    for (const Surge &surge : plan.surges) {
        const bool appliesToKind = surge.kind.empty() || surge.kind == kind.name;
        if (appliesToKind && time >= surge.fromMs && time < surge.toMs)
            factor *= surge.factor;
    }
    return factor;
}

double peakFactor(const LoadPlan &plan, const LoadKind &kind)
{
    double peak = 1;
    for (const Surge &surge : plan.surges)
        peak = std::max(peak, factorAt(plan, kind, surge.fromMs));
    return peak;
}

LoadRequest drawRequest(Generator &random, const LoadPlan &plan, std::size_t kindIndex,
                        std::vector<Parts> &parts, std::size_t number)
{
    const LoadKind &kind = plan.kinds[kindIndex];
    LoadRequest request;
    request.kind = kindIndex;
    request.instance = random() % static_cast<std::size_t>(plan.instances);
    request.prompt.model = "m";
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::size_t part = parts[i].choice(random);
        request.prompt.parts.push_back(
            {parts[i].name + "-" + std::to_string(part), parts[i].tokens[part]});
    }
    request.prompt.parts.push_back({kind.name + "-own-" + std::to_string(number),
                                    static_cast<std::uint32_t>(draw(random, kind.ownTokens))});
    for (const PromptPart &part : request.prompt.parts)
        request.prompt.inputTokens += part.tokens;
    request.events = static_cast<int>(std::max(1.0, std::round(draw(random, kind.events))));
    request.prompt.outputTokensMost =
        static_cast<std::uint32_t>(request.events * plan.engine.tokensPerEvent);
    return request;
}

} // namespace

std::vector<LoadRequest> drawArrivals(const LoadPlan &plan, std::uint64_t seed)
{
    std::vector<LoadRequest> requests;
    for (std::size_t index = 0; index < plan.kinds.size(); ++index) {
        const LoadKind &kind = plan.kinds[index];
        Generator random(seed * 1000 + index);
        std::vector<Parts> parts;
        for (const SharedParts &shared : kind.shared) {
            parts.push_back(drawParts(random, shared));
            parts.back().name =
                kind.name + "-" + std::to_string(seed) + "-" + std::to_string(parts.size());
        }
        const double peak = peakFactor(plan, kind);
        if (kind.perSecond <= 0)
            continue;
        // Thinning: generates arrivals at the peak rate and accepts each with the probability
        // of the current rate divided by the peak rate.
        std::exponential_distribution<double> interarrival(kind.perSecond * peak / 1000);
        std::uniform_real_distribution<double> acceptance(0, peak);
        for (double time = interarrival(random); time < plan.lengthMs;
             time += interarrival(random)) {
            if (acceptance(random) >= factorAt(plan, kind, time))
                continue;
            LoadRequest request = drawRequest(random, plan, index, parts, requests.size());
            request.atMs = time;
            requests.push_back(std::move(request));
        }
    }
    std::sort(requests.begin(), requests.end(),
              [](const LoadRequest &a, const LoadRequest &b) { return a.atMs < b.atMs; });
    return requests;
}

} // namespace cuminrail::emulation
