#pragma once

#include <cstdint>
#include <string_view>

namespace cuminrail {

/**
    A 64-bit hash that is the same in every process and build; std::hash is not.

    Spreads well, resists no attacker: what it covers comes from authenticated peers.
*/
class StableHash
{
public:
    StableHash &add(std::string_view text)
    {
        for (const char c : text)
            addByte(static_cast<unsigned char>(c));
        addByte(0xff); // "ab","c" must differ from "a","bc"
        return *this;
    }

    StableHash &add(std::uint64_t number)
    {
        for (int shift = 0; shift < 64; shift += 8)
            addByte(static_cast<unsigned char>(number >> shift));
        return *this;
    }

    std::uint64_t value() const
    {
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }

private:
    void addByte(unsigned char byte) { state_ = (state_ ^ byte) * 0x100000001b3ULL; }

    std::uint64_t state_ = 0xcbf29ce484222325ULL;
};

} // namespace cuminrail
