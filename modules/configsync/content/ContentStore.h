#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace cuminrail {

/** Computes the SHA-256 of a text as 64 lower-case hexadecimal digits. */
using Sha256Hook = std::function<std::string(const std::string &)>;

/** Texts by their SHA-256: the settings in force and those being fetched. Holds no wrong text. */
class ContentStore
{
public:
    explicit ContentStore(Sha256Hook sha256) : sha256_(std::move(sha256)) { }

    /** Takes a text under its own hash, and returns that. */
    std::string add(std::string text);
    /** Takes a text that should have this hash. Returns false, and drops it, when it has not. */
    bool add(const std::string &sha256, std::string text);

    /** Returns the text with this hash, or null. */
    const std::string *find(const std::string &sha256) const;
    /** Drops all texts but these. */
    void retain(const std::set<std::string> &hashes);

    std::size_t bytes() const;

private:
    Sha256Hook sha256_;
    std::map<std::string, std::string> texts_;
};

} // namespace cuminrail
