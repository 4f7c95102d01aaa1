#pragma once

#include "core/names/NameTable.h"
#include "ports/peers/PeerTransport.h"

#include <array>
#include <cstdint>

namespace cuminrail {

/** What frames between instances are for. */
enum class LinkPurpose : std::uint8_t {
    Feeds,
    Usage,
    Quotas,
    Quarantine,
    Limits,
    Departures,
    Estimates,
    /** Where streams began. */
    Streams,
    /** Requests carried for other instances. */
    Carriage,
};

inline constexpr std::size_t linkPurposes = 9;

inline constexpr NameTable<LinkPurpose, linkPurposes> linkPurposeNames{{{
    {LinkPurpose::Feeds, "feeds"},
    {LinkPurpose::Usage, "usage"},
    {LinkPurpose::Quotas, "quotas"},
    {LinkPurpose::Quarantine, "quarantine"},
    {LinkPurpose::Limits, "limits"},
    {LinkPurpose::Departures, "departures"},
    {LinkPurpose::Estimates, "estimates"},
    {LinkPurpose::Streams, "streams"},
    {LinkPurpose::Carriage, "carriage"},
}}};

/** Frames and their bytes since the start, without the overhead of links. */
struct FrameCount
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

/** Counts the frames that an instance sends and receives, by purpose. */
class LinkTraffic
{
public:
    /** Returns a transport whose frames are counted; valid as long as this object. */
    PeerTransport counted(LinkPurpose purpose, const PeerTransport &transport);
    void recordReceived(LinkPurpose purpose, std::size_t bytes);

    const FrameCount &sent(LinkPurpose purpose) const { return sent_[indexOf(purpose)]; }
    const FrameCount &received(LinkPurpose purpose) const { return received_[indexOf(purpose)]; }

private:
    static std::size_t indexOf(LinkPurpose purpose) { return static_cast<std::size_t>(purpose); }

    std::array<FrameCount, linkPurposes> sent_;
    std::array<FrameCount, linkPurposes> received_;
};

} // namespace cuminrail
