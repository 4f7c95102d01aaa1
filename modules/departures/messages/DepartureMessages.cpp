#include "departures/messages/DepartureMessages.h"

#include "membership/messages/CborArrayReader.h"

#include <algorithm>

namespace cuminrail {

namespace {

using nlohmann::json;
using Limits = DepartureMessageLimits;

/** First element of each frame: format and kind. Frames of another format are rejected. */
enum class Tag : std::uint8_t { Announcement = 0x71 };

std::optional<AnnouncedDeparture> decodeDeparture(const json &value)
{
    CborArrayReader elements(value);
    AnnouncedDeparture departure;
    departure.incarnation = elements.number();
    departure.age = Millis(static_cast<std::int64_t>(elements.number(Limits::millis)));
    return elements.isFullyRead() ? std::optional<AnnouncedDeparture>(departure) : std::nullopt;
}

std::optional<DepartureAnnouncement> decodeAnnouncement(CborArrayReader &message)
{
    if (static_cast<Tag>(message.number(0xff)) != Tag::Announcement)
        return std::nullopt;
    DepartureAnnouncement announcement;
    announcement.isReport = message.boolean();
    for (const json &each : message.list(Limits::departures)) {
        const auto departure = decodeDeparture(each);
        if (!departure)
            return std::nullopt;
        announcement.departures.push_back(*departure);
    }
    return announcement;
}

} // namespace

std::string encodeDepartures(const DepartureAnnouncement &announcement)
{
    json departures = json::array();
    for (const AnnouncedDeparture &each : announcement.departures) {
        const std::int64_t age = std::clamp<std::int64_t>(each.age.count(), 0, Limits::millis);
        departures.push_back(json::array({each.incarnation, static_cast<std::uint64_t>(age)}));
    }
    return encodeCbor(json::array({Tag::Announcement, announcement.isReport, departures}));
}

std::optional<DepartureAnnouncement> decodeDepartures(const std::string &frame)
{
    return decodeFrame(frame, decodeAnnouncement);
}

} // namespace cuminrail
