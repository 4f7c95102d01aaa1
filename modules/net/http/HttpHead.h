#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/** One header line, its value without surrounding blanks. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

/** Returns true when two header names are the same, whatever their case. */
bool sameHeaderName(std::string_view left, std::string_view right);

/** Returns how much memory header lines take, which is a multiple of their length on the wire. */
std::size_t memoryBytesOf(const std::vector<HttpHeader> &headers);

/** The start line and headers of a request or a response. */
struct HttpHead
{
    /** Requests only. */
    std::string method;
    std::string target;
    /** Responses only. */
    int status = 0;
    /** 10 for HTTP/1.0, 11 for HTTP/1.1. */
    int version = 11;
    std::vector<HttpHeader> headers;

    /** Returns the first value of a header, or null. */
    const std::string *find(std::string_view name) const;
    /** Returns how many header lines have this name. */
    std::size_t count(std::string_view name) const;
    /** Returns how much memory the head takes, which is a multiple of its length on the wire. */
    std::size_t memoryBytes() const;
    /** Returns the target without its query. */
    std::string_view path() const;
};

/** Returns the standard reason phrase of a status: "Not Found". */
std::string_view statusPhrase(int status);

} // namespace cuminrail
