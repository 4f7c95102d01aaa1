#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrail {

/**
    What a request asks for, whatever its identity: the same customer, path and body give the same
    fingerprint at every instance. Nothing of them can be read from it.
*/
class RequestFingerprint
{
public:
    /** Digits of text(). */
    static constexpr std::size_t digits = 32;

    /**
        @param customer  empty where the route needs no key
        @param target    the path with its query
    */
    static RequestFingerprint of(std::string_view customer, std::string_view target,
                                 std::string_view body);
    /** Returns nothing for what is no fingerprint's text. */
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
