#pragma once

#include <string>
#include <utility>

namespace cuminrail {

/**
    Why the last operation gave nothing.

    Functions that can fail return std::optional and take a Reason to fill in. @c where names the
    thing at fault (a settings path, a flag, a header), @c what says what is wrong with it.
*/
struct Reason
{
    std::string where;
    std::string what;

    /** Returns "where: what", or just what when there is no place to name. */
    std::string toString() const { return where.empty() ? what : where + ": " + what; }

    bool operator==(const Reason &other) const
    {
        return where == other.where && what == other.what;
    }
};

/** Stores a reason for a caller that asked for one. Returns false, so a check can return it. */
inline bool fail(Reason *lastReason, std::string where, std::string what)
{
    if (lastReason != nullptr)
        *lastReason = Reason{std::move(where), std::move(what)};
    return false;
}

} // namespace cuminrail
