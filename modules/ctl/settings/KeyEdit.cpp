#include "ctl/settings/KeyEdit.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <set>
#include <sstream>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

bool isKeysSubtree(const std::string &name)
{
    return name.rfind(kKeysPrefix, 0) == 0;
}

Json keysOf(const std::string &text)
{
    const Json subtree = Json::parse(text, nullptr, false);
    return subtree.is_object() ? subtree.value("keys", Json::array()) : Json::array();
}

std::set<std::string> keyHashes(const SettingsSubtrees &subtrees, bool areWithdrawn)
{
    std::set<std::string> found;
    for (const auto &[name, text] : subtrees) {
        if (!isKeysSubtree(name))
            continue;
        for (const Json &key : keysOf(text)) {
            if (key.is_object() && key.value("withdrawn", false) == areWithdrawn)
                found.insert(key.value("sha256", ""));
        }
    }
    return found;
}

} // namespace

bool addKey(SettingsSubtrees &subtrees, const NewKey &key, Reason *lastReason)
{
    const std::string hash = key.hash.toHex();
    if (keyHashes(subtrees, true).count(hash) + keyHashes(subtrees, false).count(hash) > 0)
        return fail(lastReason, "key", "already exists in the settings");
    const std::string name = kKeysPrefix + key.team.text();
    Json keys = keysOf(subtrees[name]);
    Json entry = {{"sha256", hash}, {"customer", key.customer.text()}};
    if (!key.label.empty())
        entry["label"] = key.label;
    keys.push_back(std::move(entry));
    subtrees[name] = Json{{"keys", std::move(keys)}}.dump();
    return true;
}

bool withdrawKey(SettingsSubtrees &subtrees, const KeyHash &hash, Reason *lastReason)
{
    bool isFound = false;
    for (auto &[name, text] : subtrees) {
        if (!isKeysSubtree(name))
            continue;
        Json keys = keysOf(text);
        for (Json &key : keys) {
            if (key.value("sha256", "") != hash.toHex())
                continue;
            key["withdrawn"] = true;
            isFound = true;
        }
        text = Json{{"keys", std::move(keys)}}.dump();
    }
    return isFound || fail(lastReason, "key", "does not exist in the settings");
}

std::vector<std::string> revivedKeys(const SettingsSubtrees &older, const SettingsSubtrees &newer)
{
    const auto valid = keyHashes(newer, false);
    std::vector<std::string> revived;
    for (const std::string &hash : keyHashes(older, true)) {
        if (valid.count(hash) > 0)
            revived.push_back(hash);
    }
    return revived;
}

std::string makeKey(const RandomHook &random)
{
    std::ostringstream key;
    key << "crk-" << std::hex << std::setfill('0');
    for (int word = 0; word < 4; ++word)
        key << std::setw(16) << random();
    return key.str();
}

} // namespace cuminrail
