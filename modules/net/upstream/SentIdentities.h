#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cuminrail {

/**
    Identities of the requests that a connection has carried, as hashes.

    An identity proves that a response is its request's only if it was sent once on its connection.
*/
class SentIdentities
{
public:
    /** How many are remembered; a connection that has carried as many is not kept. */
    static constexpr std::size_t capacity = 256;

    void add(std::string_view identity);
    bool isFull() const { return hashes_.size() >= capacity; }
    bool contains(std::string_view identity) const;

private:
    std::vector<std::uint64_t> hashes_;
};

} // namespace cuminrail
