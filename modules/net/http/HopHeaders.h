#pragma once

#include "net/http/HttpHead.h"

#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/**
    Returns the names, as written, of headers that concern one connection only: the standard ones
    do by definition, others because the Connection header names them.

    @see isHopHeader
*/
std::vector<std::string> connectionHeaderNames(const HttpHead &head);

/** Returns true if a header must not be passed on; @c named is what connectionHeaderNames() gave.
 */
bool isHopHeader(std::string_view name, const std::vector<std::string> &named);

/** Appends "Name: value" and a line end. */
void appendHeader(std::string &wire, std::string_view name, std::string_view value);

} // namespace cuminrail
