#pragma once

#include "net/http/HttpHead.h"

#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/**
    Returns the header names listed in the Connection headers, as written. Like the standard
    hop-by-hop headers they apply to one connection only.

    @see isHopHeader
*/
std::vector<std::string> connectionHeaderNames(const HttpHead &head);

/** Returns true if a header must not be forwarded; @c named comes from connectionHeaderNames().
 */
bool isHopHeader(std::string_view name, const std::vector<std::string> &named);

/** Appends "Name: value" and CRLF. */
void appendHeader(std::string &wire, std::string_view name, std::string_view value);

} // namespace cuminrail
