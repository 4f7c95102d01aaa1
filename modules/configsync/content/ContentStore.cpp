#include "configsync/content/ContentStore.h"

#include "core/guards/Guards.h"

#include <utility>

namespace cuminrail {

std::string ContentStore::add(std::string text)
{
    std::string hash = sha256_(text);
    texts_[hash] = std::move(text);
    return hash;
}

bool ContentStore::add(const std::string &sha256, std::string text)
{
    // A text that is truncated, swapped with another or assembled from two replies may still be
    // valid JSON. The hash in the head identifies the text that the operator's tool has validated.
    if (guardEnabled(Guard::ContentHashChecked) && sha256_(text) != sha256)
        return false;
    texts_[sha256] = std::move(text);
    return true;
}

const std::string *ContentStore::find(const std::string &sha256) const
{
    const auto found = texts_.find(sha256);
    return found == texts_.end() ? nullptr : &found->second;
}

void ContentStore::retain(const std::set<std::string> &hashes)
{
    for (auto entry = texts_.begin(); entry != texts_.end();)
        entry = hashes.count(entry->first) != 0 ? std::next(entry) : texts_.erase(entry);
}

std::size_t ContentStore::bytes() const
{
    std::size_t sum = 0;
    for (const auto &entry : texts_)
        sum += entry.second.size();
    return sum;
}

} // namespace cuminrail
