#include "engineview/reports/EngineReport.h"

#include "core/hash/StableHash.h"

namespace cuminrail {

EngineKey engineKey(const UpstreamId &engine)
{
    return static_cast<EngineKey>(StableHash().add(engine.text()).value());
}

std::uint32_t factsHash(const EngineState &state)
{
    StableHash hash;
    hash.add(state.engine.text()).add(state.incarnation);
    hash.add(engineRoleNames.name(state.role));
    for (const std::string &model : state.models)
        hash.add(model);
    hash.add(std::uint64_t{0});
    for (const std::string &adapter : state.adapters)
        hash.add(adapter);
    return static_cast<std::uint32_t>(hash.value());
}

} // namespace cuminrail
