#pragma once

#include "core/time/Millis.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    Which software versions of each service's upstreams are listed, and which were until recently.

    Load: releases that replace all upstreams of a service within seconds, forth and back. A stream
    may have begun at a version of which no upstream is listed any more.
*/
class VersionCensus
{
public:
    /** Sets for how long a version that is no longer listed counts: as long as a stream lasts. */
    void setRetention(Millis retention) { retention_ = retention; }
    Millis retention() const { return retention_; }
    /**
        No version was in use until now. A list that comes later than @c until may lack versions
        that were listed in between.
    */
    void setNothingBefore(Millis until) { nothingBeforeUntil_ = until; }
    /** The first complete list of upstreams is known; what was listed before is not. */
    void begin(Millis now);
    void added(const std::string &service, const std::string &version, Millis now);
    void removed(const std::string &service, const std::string &version, Millis now);

    /** Returns the versions that are listed now. */
    std::vector<std::string> listed(const std::string &service) const;
    /** Whether a version is listed, or was within the retention. */
    bool isKnown(const std::string &service,
                 const std::function<bool(const std::string &version)> &matches, Millis now) const;
    /** Returns the version that is listed now, if it is the only one. */
    std::optional<std::string> onlyListed(const std::string &service) const;
    /** Whether one version alone has been listed throughout the retention. */
    bool isSettled(const std::string &service, Millis now) const;
    /** Returns when a version was last listed that was not listed just before. */
    Millis lastChangeAt(const std::string &service) const;

private:
    struct Version
    {
        std::size_t upstreams = 0;
        /** When the last of its upstreams was removed. */
        Millis removedAt;
    };
    struct Service
    {
        std::unordered_map<std::string, Version> versions;
        Millis lastChangeAt;
    };

    Millis retention_ = Millis::seconds(20);
    std::optional<Millis> beganAt_;
    std::optional<Millis> nothingBeforeUntil_;
    std::unordered_map<std::string, Service> services_;
};

} // namespace cuminrail
