#pragma once

#include "core/names/NameTable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cuminrail {

/** What a fingerprint identifies. */
enum class ContentKind : std::uint8_t {
    /** A whole request. */
    Request,
    /** A part of prompts, whoever sends it. */
    Part,
    /** A part of one customer's prompts. */
    CustomerPart,
};

inline constexpr NameTable<ContentKind, 3> contentKindNames{{{
    {ContentKind::Request, "request"},
    {ContentKind::Part, "part"},
    {ContentKind::CustomerPart, "customer-part"},
}}};

/**
    Hash of the content of a request or of one part of its prompt, independent of the request's
    identity. The same content gives the same fingerprint at every instance. It does not reveal it.
*/
class ContentFingerprint
{
public:
    /** Number of digits in text(); text() of a part begins with one letter more. */
    static constexpr std::size_t digits = 32;
    static constexpr std::size_t maxTextSize = digits + 1;

    /**
        @param customer  empty where the route needs no key
        @param target    the path with its query
    */
    static ContentFingerprint ofRequest(std::string_view customer, std::string_view target,
                                        std::string_view body);
    static ContentFingerprint ofPart(std::string_view model, std::string_view part);
    static ContentFingerprint ofCustomerPart(std::string_view customer, std::string_view model,
                                             std::string_view part);
    /** Parses the result of text(). Returns nothing for any other text. */
    static std::optional<ContentFingerprint> fromText(std::string_view text);

    ContentKind kind() const { return kind_; }
    /** Returns lower-case hexadecimal digits, for a part after a letter that states its kind. */
    std::string text() const;
    /** Returns a number for hash tables; the bits are evenly spread. */
    std::uint64_t bucket() const { return high_ ^ static_cast<std::uint64_t>(kind_); }

    bool operator==(const ContentFingerprint &other) const { return fields() == other.fields(); }
    bool operator!=(const ContentFingerprint &other) const { return !(*this == other); }
    bool operator<(const ContentFingerprint &other) const { return fields() < other.fields(); }

private:
    ContentFingerprint(ContentKind kind, std::uint64_t high, std::uint64_t low)
        : kind_(kind), high_(high), low_(low)
    { }

    std::tuple<ContentKind, std::uint64_t, std::uint64_t> fields() const
    {
        return {kind_, high_, low_};
    }

    ContentKind kind_;
    std::uint64_t high_;
    std::uint64_t low_;
};

} // namespace cuminrail

template<>
struct std::hash<cuminrail::ContentFingerprint>
{
    std::size_t operator()(const cuminrail::ContentFingerprint &fingerprint) const noexcept
    {
        return fingerprint.bucket();
    }
};
