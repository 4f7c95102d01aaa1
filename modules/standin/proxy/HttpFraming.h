#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cuminrail {

/** Returns the length of the head at the beginning, with its empty line; 0 while it isn't whole. */
std::size_t headLength(std::string_view bytes);

/** Returns the value of a header as it is spelled, or nothing. */
std::string headerValue(std::string_view head, std::string_view name);

bool isChunked(std::string_view head);

/**
    Returns the length of the message at the beginning; 0 while it isn't whole. A response without a
    length is never whole, as its connection's end ends it.
*/
std::size_t messageLength(std::string_view bytes);

/** Returns a message's body without its framing, as far as it is there. */
std::string bodyOf(std::string_view message);

} // namespace cuminrail
