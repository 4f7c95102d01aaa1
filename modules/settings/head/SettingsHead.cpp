#include "settings/head/SettingsHead.h"

#include "settings/read/SettingsReader.h"
#include "settings/read/StrictJson.h"

namespace cuminrail {

namespace {

constexpr std::size_t maxDepth = 4;
constexpr std::size_t hashDigits = 64;

bool isHash(const nlohmann::json &value)
{
    if (!value.is_string())
        return false;
    const auto &text = value.get_ref<const std::string &>();
    return text.size() == hashDigits
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool readSubtrees(const nlohmann::json &json, SettingsHead &head, Reason *lastReason)
{
    if (!json.is_object())
        return fail(lastReason, "settings/head: /subtrees", "must be an object");
    for (const auto &entry : json.items()) {
        if (!isHash(entry.value()))
            return fail(lastReason, "settings/head: /subtrees/" + entry.key(),
                        "must be a SHA-256 in hexadecimal");
        head.subtrees[entry.key()] = entry.value().get<std::string>();
    }
    return true;
}

} // namespace

std::string SettingsHead::toText() const
{
    return nlohmann::json{
        {"generation", generation},
        {"token", token},
        {"subtrees", subtrees},
    }
        .dump();
}

std::optional<SettingsHead> SettingsHead::fromText(const std::string &text, Reason *lastReason)
{
    const auto json = parseStrictJson(text, kMaxSubtreeBytes, maxDepth, lastReason);
    if (!json)
        return std::nullopt;
    const bool isComplete = json->is_object() && json->size() == 3 && json->contains("generation")
        && json->contains("token") && json->contains("subtrees");
    if (!isComplete || !(*json)["generation"].is_number_unsigned()
        || !(*json)["token"].is_string()) {
        fail(lastReason, "settings/head", "must have a generation, a token and subtrees");
        return std::nullopt;
    }
    SettingsHead head;
    head.generation = (*json)["generation"].get<std::uint64_t>();
    head.token = (*json)["token"].get<std::string>();
    if (!readSubtrees((*json)["subtrees"], head, lastReason))
        return std::nullopt;
    return head;
}

std::string settingsContentPath(const std::string &sha256)
{
    return kSettingsContentPrefix + sha256;
}

} // namespace cuminrail
