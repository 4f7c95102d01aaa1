#include "runtime/memory/Allocator.h"

#include <malloc.h>

namespace cuminrail {

void returnLongBuffers()
{
    // The library's own initial value; setting it ends its adjustment.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(longBufferBytes));
    mallopt(M_TRIM_THRESHOLD, static_cast<int>(longBufferBytes));
}

} // namespace cuminrail
