#pragma once

#include <optional>
#include <string>

namespace cuminrail::detail {

/** Lower-case letters, digits and '-', 1 to 64 of them. Returns what is wrong, or nothing. */
std::optional<std::string> checkIdentifier(const std::string &text);

/** A version or date-like token: letters, digits, '.', '_', '-', 1 to 128 of them. */
std::optional<std::string> checkVersion(const std::string &text);

/** An IP number and a port: "10.0.0.4:8000" or "[fd00::1]:8000". */
std::optional<std::string> checkAddress(const std::string &text);

/** A path prefix that starts and ends with '/', outside "/v1/". */
std::optional<std::string> checkServicePrefix(const std::string &text);

/** A path below a service's prefix: "/" for all, "/bundles" for one, "/bundles/" for all below. */
std::optional<std::string> checkServicePath(const std::string &text);

/** An HTTP method in capitals. */
std::optional<std::string> checkMethod(const std::string &text);

/** 64 lower-case hexadecimal digits. */
std::optional<std::string> checkSha256(const std::string &text);

/** A calendar day: "2026-12-24". */
std::optional<std::string> checkDate(const std::string &text);

/** At most 200 printable characters, for people to read. */
std::optional<std::string> checkLabel(const std::string &text);

} // namespace cuminrail::detail
