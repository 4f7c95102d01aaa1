#include "core/keys/BearerToken.h"

#include <algorithm>
#include <cctype>

namespace cuminrail {

namespace {

constexpr std::string_view scheme = "bearer";
constexpr char firstVisible = '!';
constexpr char lastVisible = '~';

bool startsWithScheme(std::string_view value)
{
    if (value.size() <= scheme.size())
        return false;
    const auto sameLetter = [](char expected, char given) {
        return expected == std::tolower(static_cast<unsigned char>(given));
    };
    return std::equal(scheme.begin(), scheme.end(), value.begin(), sameLetter)
        && value[scheme.size()] == ' ';
}

bool isVisible(char letter)
{
    return letter >= firstVisible && letter <= lastVisible;
}

} // namespace

std::optional<std::string_view> bearerToken(std::string_view headerValue, Reason *lastReason)
{
    const auto refuse = [lastReason](const char *what) {
        fail(lastReason, "Authorization", what);
        return std::nullopt;
    };
    if (!startsWithScheme(headerValue))
        return refuse("expected 'Bearer' and a key");
    std::string_view key = headerValue.substr(scheme.size());
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    if (key.empty())
        return refuse("the key is empty");
    if (key.size() > maxKeyLength)
        return refuse("the key is longer than 256 characters");
    if (!std::all_of(key.begin(), key.end(), isVisible))
        return refuse("the key has characters that no key has");
    return key;
}

} // namespace cuminrail
