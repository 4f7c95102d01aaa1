#pragma once

#include "carriage/calls/IncomingCalls.h"
#include "carriage/calls/OutgoingCalls.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail::testing {

/** An instance with callers and a carrier, with a link whose messages a test passes on. */
class CarriagePair
{
public:
    explicit CarriagePair(IncomingCalls::Bounds bounds = {})
        : outgoing({[this](const PeerAddress &, const std::string &frame) { post(true, frame); }},
                   seededRandom(1)),
          incoming(bounds,
                   {{[this](const PeerAddress &, const std::string &frame) { post(false, frame); }},
                    [this] { return refusal; },
                    [this](const auto &call) { arrived.push_back(call); },
                    [this](const Reason &reason) { faults.push_back(reason.toString()); }})
    { }

    /** Passes on all messages, also those sent meanwhile. */
    void run()
    {
        while (!frames.empty())
            step();
    }

    void step()
    {
        const auto [isToCarrier, frame] = frames.front();
        frames.pop_front();
        const auto message = decodeCarriage(frame);
        if (!message)
            return;
        if (isToCarrier)
            incoming.handle("origin", *message);
        else
            outgoing.handle("carrier", *message);
    }

    /** Hands over a request; what comes back is recorded. */
    CarriedCallId start(const std::string &body) { return *tryStart(body, CarriedOpen{}); }

    std::optional<CarriedCallId> tryStart(const std::string &body, CarriedOpen open)
    {
        CarriedCallHooks hooks;
        hooks.onHead = [this](const CarriedHead &head) { status = head.status; };
        hooks.onBody = [this](std::string_view data) { received.append(data); };
        hooks.onEnd = [this](const CarriedEnd &end) { ends.push_back(end); };
        return outgoing.start("carrier", std::move(open), body, std::move(hooks));
    }

    std::deque<std::pair<bool, std::string>> frames;
    std::size_t mostBytesUnderWay = 0;
    std::string refusal;
    std::vector<std::shared_ptr<IncomingCall>> arrived;
    int status = 0;
    std::string received;
    std::vector<CarriedEnd> ends;
    /** Calls for responses that were out of order at the carrier. */
    std::vector<std::string> faults;
    OutgoingCalls outgoing;
    IncomingCalls incoming;

private:
    void post(bool isToCarrier, const std::string &frame)
    {
        frames.emplace_back(isToCarrier, frame);
        std::size_t bytes = 0;
        for (const auto &each : frames)
            bytes += each.second.size();
        mostBytesUnderWay = std::max(mostBytesUnderWay, bytes);
    }
};

} // namespace cuminrail::testing
