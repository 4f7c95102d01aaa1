#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail::standin {

/** An answer as a caller saw it. */
struct BlockingAnswer
{
    unsigned status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /** False when the connection ended before the answer did; status may be set all the same. */
    bool isWhole = false;
    /** True when the connection could not be made. */
    bool isConnectFailure = false;

    /** Returns a header's value, or an empty string; @p name in lower case. */
    std::string header(const std::string &name) const;
};

/** A request of a test's own caller. */
struct BlockingRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string body = {};
    std::vector<std::pair<std::string, std::string>> headers = {};
    /** When nothing arrives for so long the caller gives up. */
    int timeoutMs = 5000;
};

/**
    A caller for tests and benches: sends one request over a connection of its own and waits.

    Never throws; what went wrong shows in the answer.
*/
BlockingAnswer callOnce(std::uint16_t port, const BlockingRequest &request);

} // namespace cuminrail::standin
