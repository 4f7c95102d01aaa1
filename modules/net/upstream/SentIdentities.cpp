#include "net/upstream/SentIdentities.h"

#include <algorithm>
#include <functional>

namespace cuminrail {

void SentIdentities::add(std::string_view identity)
{
    hashes_.push_back(std::hash<std::string_view>()(identity));
}

bool SentIdentities::contains(std::string_view identity) const
{
    const std::uint64_t hash = std::hash<std::string_view>()(identity);
    return std::find(hashes_.begin(), hashes_.end(), hash) != hashes_.end();
}

} // namespace cuminrail
