#include "quarantine/fingerprint/RequestFingerprint.h"

#include "identity/keys/KeyHash.h"

#include <algorithm>

namespace cuminrail {

RequestFingerprint RequestFingerprint::of(std::string_view customer, std::string_view target,
                                          std::string_view body)
{
    // Concatenating hashes of fixed length keeps the parts separate without copying bodies.
    const std::string parts =
        KeyHash::of(customer).toHex() + KeyHash::of(target).toHex() + KeyHash::of(body).toHex();
    return RequestFingerprint(KeyHash::of(parts).toHex().substr(0, digits));
}

std::optional<RequestFingerprint> RequestFingerprint::fromText(std::string_view text)
{
    const auto isDigit = [](char each) {
        return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f');
    };
    if (text.size() != digits || !std::all_of(text.begin(), text.end(), isDigit))
        return std::nullopt;
    return RequestFingerprint(std::string(text));
}

} // namespace cuminrail
