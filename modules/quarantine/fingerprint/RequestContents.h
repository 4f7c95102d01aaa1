#pragma once

#include "quarantine/fingerprint/ContentFingerprint.h"

#include <utility>
#include <vector>

namespace cuminrail {

/** The fingerprints of one request: of itself, and of the parts of its prompt that others share. */
class RequestContents
{
public:
    /** Parts of longer prompts beyond these are not looked at. */
    static constexpr std::size_t maxParts = 8;

    RequestContents() = default;
    /** A request without parts. */
    RequestContents(const ContentFingerprint &request) : all_{request} { }
    /** @param parts  fingerprints of kinds Part and CustomerPart */
    RequestContents(const ContentFingerprint &request, std::vector<ContentFingerprint> parts)
        : all_(std::move(parts))
    {
        all_.insert(all_.begin(), request);
    }

    /** Returns the request's own fingerprint first. */
    const std::vector<ContentFingerprint> &all() const { return all_; }
    const ContentFingerprint &request() const { return all_.front(); }

private:
    std::vector<ContentFingerprint> all_;
};

} // namespace cuminrail
