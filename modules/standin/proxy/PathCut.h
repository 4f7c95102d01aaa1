#pragma once

#include "core/names/NameTable.h"
#include "standin/proxy/FaultProxy.h"

#include <cstdint>

namespace cuminrail {

/** How the network separates an instance from all upstreams. */
enum class PathCut : std::uint8_t {
    /** Nothing passes, and nobody is told. */
    Hang,
    /** Open connections are reset and new ones refused. */
    Reset,
    /** Open connections work, new ones are refused. */
    NewRefused,
    /** Open connections work, new ones are not established. */
    NewHang,
    /** Nothing comes back from upstreams. */
    OneWay,
    /** Packets are lost; connections that are left open go on afterwards. */
    Drop,
};

inline constexpr NameTable<PathCut, 6> pathCutNames{{{
    {PathCut::Hang, "hang"},
    {PathCut::Reset, "reset"},
    {PathCut::NewRefused, "new-refused"},
    {PathCut::NewHang, "new-hang"},
    {PathCut::OneWay, "one-way"},
    {PathCut::Drop, "drop"},
}}};

/** Cuts the path to one upstream. To be called on the proxy's thread, as healPath(). */
inline void cutPath(FaultProxy &proxy, PathCut cut)
{
    switch (cut) {
    case PathCut::Hang:
        proxy.setConnectFault(ConnectFault::Hang);
        return proxy.setFault(LinkFault::Silence);
    case PathCut::Reset:
        proxy.setConnectFault(ConnectFault::Refuse);
        return proxy.resetAll();
    case PathCut::NewRefused:
        return proxy.setConnectFault(ConnectFault::Refuse);
    case PathCut::NewHang:
        return proxy.setConnectFault(ConnectFault::Hang);
    case PathCut::OneWay:
        proxy.setConnectFault(ConnectFault::Hang);
        return proxy.setFault(LinkFault::OneWay);
    case PathCut::Drop:
        proxy.setConnectFault(ConnectFault::Drop);
        return proxy.setFault(LinkFault::Drop);
    }
}

inline void healPath(FaultProxy &proxy)
{
    proxy.setConnectFault(ConnectFault::None);
    proxy.setFault(LinkFault::None);
}

} // namespace cuminrail
