#pragma once

#include <cstddef>

namespace cuminrail {

/** Buffers of this length and more are mapped one by one, and returned when they are freed. */
inline constexpr std::size_t longBufferBytes = std::size_t{128} * 1024;

/**
    Makes the C library return long buffers to the system as soon as they are freed. Call it once at
    the start of a process.

    By default it raises the size from which it does so to that of the longest buffer freed so far;
    a process that once held many long responses then keeps their memory.
*/
void returnLongBuffers();

} // namespace cuminrail
