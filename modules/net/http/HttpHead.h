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

/** The first part of a request or an answer. */
struct HttpHead
{
    /** Of a request. */
    std::string method;
    std::string target;
    /** Of an answer. */
    int status = 0;
    /** 10 or 11. */
    int version = 11;
    std::vector<HttpHeader> headers;

    /** Returns the first value of a header, or null. */
    const std::string *find(std::string_view name) const;
    /** Returns how many lines have this header name. */
    std::size_t count(std::string_view name) const;
    /** Returns the target up to its query. */
    std::string_view path() const;
};

/** Returns the customary phrase for a status: "Not Found". */
std::string_view statusPhrase(int status);

} // namespace cuminrail
