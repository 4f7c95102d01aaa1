#include "runtime/memory/Allocator.h"

#include <malloc.h>

namespace cuminrail {

void returnLongBuffers()
{
    // The library's own initial value; setting it ends its adjustment.
    constexpr int longBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, longBytes);
    mallopt(M_TRIM_THRESHOLD, longBytes);
}

} // namespace cuminrail
