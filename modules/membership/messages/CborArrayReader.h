#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace cuminrail {

/** Limits for any frame between instances. */
struct FrameLimits
{
    static constexpr std::size_t bytes = 64 * 1024;
    static constexpr std::size_t depth = 6;
    static constexpr std::size_t elements = 8192;
};

/** Limits for a decoded value that is not a frame. */
struct CborLimits
{
    std::size_t bytes = FrameLimits::bytes;
    std::size_t elements = FrameLimits::elements;
};

/**
    Decodes a frame; returns nothing if it is malformed or exceeds a limit.

    The library's decoder recurses with the nesting and trusts announced lengths: without these
    limits a small frame of nested arrays would overflow the stack of the control thread.
*/
std::optional<nlohmann::json> decodeCbor(const std::string &frame, const CborLimits &limits = {});

/** Encodes a value as a frame. */
std::string encodeCbor(const nlohmann::json &value);

/**
    Reads the elements of a CBOR array in order, strictly.

    After the first element that is missing, has another type or exceeds a limit, all further reads
    return empty values and isValid() stays false, so that a decoder needs only one check at its
    end.
*/
class CborArrayReader
{
public:
    explicit CborArrayReader(const nlohmann::json &value);

    std::uint64_t number(std::uint64_t maximum = UINT64_MAX);
    bool boolean();
    /** Reads a text of printable ASCII without spaces. */
    std::string name(std::size_t maximum, bool allowEmpty = false);
    /** Reads a byte string. */
    std::string bytes(std::size_t maximum);
    /** Reads a nested array of at most this many elements; an empty one on error. */
    const nlohmann::json &list(std::size_t maximum);

    /** Returns true if all elements read so far were valid. */
    bool isValid() const { return valid_; }
    /** Returns true if, in addition, no element remains. */
    bool isFullyRead() const { return valid_ && position_ == value_.size(); }
    void fail() { valid_ = false; }

private:
    const nlohmann::json *next();

    const nlohmann::json &value_;
    std::size_t position_ = 0;
    bool valid_ = true;
};

/**
    Decodes a frame that consists of one array.

    @param take  reads the elements and returns the message, or nothing
    @returns nothing unless all elements were read and valid
*/
template<typename Take>
auto decodeFrame(const std::string &frame, Take take)
    -> decltype(take(std::declval<CborArrayReader &>()))
{
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    auto message = take(elements);
    return message && elements.isFullyRead() ? message : std::nullopt;
}

} // namespace cuminrail
