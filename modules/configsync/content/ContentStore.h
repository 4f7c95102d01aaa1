#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace cuminrail {

/** Computes the SHA-256 of a text as 64 lower-case hexadecimal digits. */
using Sha256Hook = std::function<std::string(const std::string &)>;

/**
    Texts by their SHA-256: the settings in force and those being fetched. Every text matches its
    hash.
*/
class ContentStore
{
public:
    explicit ContentStore(Sha256Hook sha256) : sha256_(std::move(sha256)) { }

    /** Adds a text under its own hash, and returns the hash. */
    std::string add(std::string text);
    /**
        Adds a text under the given hash. Returns false, and drops the text, if it does not match.
    */
    bool add(const std::string &sha256, std::string text);

    /** Returns the text with this hash, or null. */
    const std::string *find(const std::string &sha256) const;
    /** Removes all texts except these. */
    void retain(const std::set<std::string> &hashes);

    std::size_t bytes() const;

private:
    Sha256Hook sha256_;
    std::map<std::string, std::string> texts_;
};

} // namespace cuminrail
