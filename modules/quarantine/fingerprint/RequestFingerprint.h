#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrail {

/**
    Hash of a request's content, independent of its request id: the same customer, path and body
    give the same fingerprint at every instance. It does not reveal any of them.
*/
class RequestFingerprint
{
public:
    /** Number of digits in text(). */
    static constexpr std::size_t digits = 32;

    /**
        @param customer  empty where the route needs no key
        @param target    the path with its query
    */
    static RequestFingerprint of(std::string_view customer, std::string_view target,
                                 std::string_view body);
    /** Parses the result of text(). Returns nothing for any other text. */
    static std::optional<RequestFingerprint> fromText(std::string_view text);

    /** Lower-case hexadecimal digits. */
    const std::string &text() const { return text_; }
    bool operator==(const RequestFingerprint &other) const { return text_ == other.text_; }

private:
    explicit RequestFingerprint(std::string text) : text_(std::move(text)) { }

    std::string text_;
};

} // namespace cuminrail

template<>
struct std::hash<cuminrail::RequestFingerprint>
{
    std::size_t operator()(const cuminrail::RequestFingerprint &fingerprint) const noexcept
    {
        return std::hash<std::string>()(fingerprint.text());
    }
};
