#include "net/http/HttpHead.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <ostream>

namespace cuminrail {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/** Returns what a string takes besides itself. */
std::size_t heapBytes(const std::string &text)
{
    static const std::size_t inPlace = std::string().capacity();
    return text.capacity() > inPlace ? text.capacity() + 1 : 0;
}

} // namespace

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

const std::string *HttpHead::find(std::string_view name) const
{
    for (const HttpHeader &header : headers) {
        if (sameHeaderName(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::size_t HttpHead::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](const HttpHeader &header) { return sameHeaderName(header.name, name); }));
}

std::size_t memoryBytesOf(const std::vector<HttpHeader> &headers)
{
    std::size_t bytes = headers.capacity() * sizeof(HttpHeader);
    for (const HttpHeader &header : headers)
        bytes += heapBytes(header.name) + heapBytes(header.value);
    return bytes;
}

std::size_t HttpHead::memoryBytes() const
{
    return target.capacity() + memoryBytesOf(headers);
}

std::string_view HttpHead::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view statusPhrase(int status)
{
    const auto phrase =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace cuminrail
