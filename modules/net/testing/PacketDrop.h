#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

namespace cuminrail::testing {

/**
    Makes the kernel drop all packets that arrive for a socket, listening or connected, or accept
    them again. To the other end the host is unreachable: nothing is acknowledged, neither bytes nor
    keep-alive probes nor attempts to connect. Connections go on afterwards. Needs no privilege.

    @returns false if the kernel refused
*/
inline bool setPacketDrop(int socket, bool isDropping)
{
    if (!isDropping) {
        const int unused = 0;
        return setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused) == 0;
    }
    sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &dropAll};
    return setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

} // namespace cuminrail::testing
