#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace cuminrail {

/** Bounds on any frame between instances. */
struct FrameLimits
{
    static constexpr std::size_t bytes = 64 * 1024;
    static constexpr std::size_t depth = 6;
    static constexpr std::size_t elements = 8192;
};

/** Bounds on what is decoded, where they are not those of a frame. */
struct CborBounds
{
    std::size_t bytes = FrameLimits::bytes;
    std::size_t elements = FrameLimits::elements;
};

/**
    Decodes a frame within bounds; nothing for anything else.

    The library's decoder recurses with the nesting and trusts announced lengths: without the
    bounds a small frame of nested arrays would overflow the stack of the control thread.
*/
std::optional<nlohmann::json> decodeCbor(const std::string &frame, const CborBounds &bounds = {});

/** Encodes a value as a frame. */
std::string encodeCbor(const nlohmann::json &value);

/**
    Takes the elements of a CBOR array one by one, strictly.

    After the first element that is missing, of another type or out of bounds, everything else
    gives empty values and isGood() stays false, so that a decoder checks once, at its end.
*/
class CborArray
{
public:
    explicit CborArray(const nlohmann::json &value);

    std::uint64_t number(std::uint64_t maximum = UINT64_MAX);
    bool boolean();
    /** A text of printable ASCII without spaces. */
    std::string name(std::size_t maximum, bool mayBeEmpty = false);
    /** Any bytes. */
    std::string bytes(std::size_t maximum);
    /** A nested array with at most so many elements; an empty one when there is none. */
    const nlohmann::json &list(std::size_t maximum);

    /** Returns true when every element so far was as expected. */
    bool isGood() const { return good_; }
    /** Returns true when, besides, no element is left. */
    bool isWhole() const { return good_ && place_ == value_.size(); }
    void fail() { good_ = false; }

private:
    const nlohmann::json *next();

    const nlohmann::json &value_;
    std::size_t place_ = 0;
    bool good_ = true;
};

/**
    Decodes a frame that is one array.

    @param take  takes the elements and returns the message, or nothing
    @returns nothing unless the message took every element, and each was as expected
*/
template<typename Take>
auto decodeFrame(const std::string &frame, Take take) -> decltype(take(std::declval<CborArray &>()))
{
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArray elements(*value);
    auto message = take(elements);
    return message && elements.isWhole() ? message : std::nullopt;
}

} // namespace cuminrail
