#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cuminrail {

/**
    Identities of the requests that a connection has carried: the latest ones, as hashes.

    An identity proves that a response is its request's only if it was sent once on its connection.
*/
class SentIdentities
{
public:
    /** How many are remembered; the oldest is forgotten first. */
    static constexpr std::size_t capacity = 64;

    void add(std::string_view identity);
    bool contains(std::string_view identity) const;

private:
    std::vector<std::uint64_t> hashes_;
    std::size_t oldest_ = 0;
};

} // namespace cuminrail
