#include "gateway/request/OpenResponse.h"

#include <algorithm>

namespace cuminrail {

namespace {

constexpr std::string_view eventStreamType = "text/event-stream";

/** Returns the value of Content-Type without parameters; empty if it is not stated. */
std::string mediaTypeOf(const std::vector<HttpHeader> &headers)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [](const HttpHeader &header) {
        return sameHeaderName(header.name, "Content-Type");
    });
    if (found == headers.end())
        return {};
    const std::string type = found->value.substr(0, found->value.find(';'));
    const auto end = type.find_last_not_of(" \t");
    return end == std::string::npos ? std::string() : type.substr(0, end + 1);
}

} // namespace

OpenResponse::OpenResponse(int status, const std::vector<HttpHeader> &headers)
    : status_(status), mediaType_(mediaTypeOf(headers))
{ }

std::string OpenResponse::mismatch(int status, const std::vector<HttpHeader> &headers) const
{
    if (status != status_)
        return "answered " + std::to_string(status) + " where the stream was to go on";
    const std::string type = mediaTypeOf(headers);
    // The names of media types, like those of headers, are compared without regard to case.
    if (type.empty() || sameHeaderName(type, eventStreamType) || sameHeaderName(type, mediaType_))
        return {};
    return "answered with " + type + " where the stream was to go on";
}

} // namespace cuminrail
