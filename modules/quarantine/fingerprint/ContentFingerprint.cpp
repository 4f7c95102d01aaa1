#include "quarantine/fingerprint/ContentFingerprint.h"

#include "identity/keys/KeyHash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <unordered_map>
#include <utility>

namespace cuminrail {

namespace {

constexpr std::size_t wordDigits = ContentFingerprint::digits / 2;
constexpr char partLetter = 'p';
constexpr char customerPartLetter = 'c';

bool isDigit(char each)
{
    return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f');
}

std::uint64_t wordOf(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

using Words = std::pair<std::uint64_t, std::uint64_t>;

/** Returns the first digits of a hash as two numbers. */
Words wordsOf(const KeyHash &hash)
{
    const std::string hex = hash.toHex();
    const std::string_view text(hex);
    return {wordOf(text.substr(0, wordDigits)), wordOf(text.substr(wordDigits, wordDigits))};
}

/** Returns the hash of a part that many requests share; to look it up is faster than to hash it. */
Words sharedWordsOf(const std::string &text)
{
    constexpr std::size_t maxEntries = 2048;
    thread_local std::unordered_map<std::string, Words> known;
    const auto found = known.find(text);
    if (found != known.end())
        return found->second;
    if (known.size() >= maxEntries)
        known.clear();
    return known.emplace(text, wordsOf(KeyHash::of(text))).first->second;
}

/** Appends a field with its length, so that fields cannot run into each other. */
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

ContentFingerprint ContentFingerprint::ofRequest(std::string_view customer, std::string_view target,
                                                 std::string_view body)
{
    // Concatenating hashes of fixed length keeps the parts separate without copying bodies.
    const std::string parts =
        KeyHash::of(customer).toHex() + KeyHash::of(target).toHex() + KeyHash::of(body).toHex();
    const auto [high, low] = wordsOf(KeyHash::of(parts));
    return {ContentKind::Request, high, low};
}

ContentFingerprint ContentFingerprint::ofPart(std::string_view model, std::string_view part)
{
    std::string text;
    appendField(text, model);
    appendField(text, part);
    const auto [high, low] = sharedWordsOf(text);
    return {ContentKind::Part, high, low};
}

ContentFingerprint ContentFingerprint::ofCustomerPart(std::string_view customer,
                                                      std::string_view model, std::string_view part)
{
    std::string text;
    appendField(text, customer);
    appendField(text, model);
    appendField(text, part);
    const auto [high, low] = sharedWordsOf(text);
    return {ContentKind::CustomerPart, high, low};
}

std::optional<ContentFingerprint> ContentFingerprint::fromText(std::string_view text)
{
    ContentKind kind = ContentKind::Request;
    if (text.size() == maxTextSize) {
        if (text.front() != partLetter && text.front() != customerPartLetter)
            return std::nullopt;
        kind = text.front() == partLetter ? ContentKind::Part : ContentKind::CustomerPart;
        text.remove_prefix(1);
    }
    if (text.size() != digits || !std::all_of(text.begin(), text.end(), isDigit))
        return std::nullopt;
    return ContentFingerprint(kind, wordOf(text.substr(0, wordDigits)),
                              wordOf(text.substr(wordDigits)));
}

std::string ContentFingerprint::text() const
{
    std::array<char, digits + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx", static_cast<unsigned long long>(high_),
                  static_cast<unsigned long long>(low_));
    std::string text;
    if (kind_ != ContentKind::Request)
        text += kind_ == ContentKind::Part ? partLetter : customerPartLetter;
    return text.append(hex.data(), digits);
}

} // namespace cuminrail
