#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "peerlink/PeerLinks.h"

#include <chrono>
#include <vector>

namespace cuminrail {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{50};
/** The same while nothing waits to be sent. */
constexpr std::chrono::milliseconds kIdleTickPeriod{250};

} // namespace

void PeerLinks::handleOpening(const Handle &handle)
{
    opening_.push_back(handle);
    if (opening_.size() <= config_.maxOpening)
        return;
    websocketpp::lib::error_code error;
    const detail::PeerConnection oldest = server_.get_con_from_hdl(opening_.front(), error);
    opening_.pop_front();
    boost::system::error_code ignored;
    if (oldest)
        oldest->get_raw_socket().close(ignored);
}

void PeerLinks::removeOpening(const Handle &handle)
{
    opening_.remove_if([&handle](const Handle &each) {
        return !each.owner_before(handle) && !handle.owner_before(each);
    });
}

/** At maxLinks, closes the link with the longest idle time. */
void PeerLinks::evictIfFull()
{
    if (links_.size() < config_.maxLinks)
        return;
    auto oldest = links_.end();
    for (auto entry = links_.begin(); entry != links_.end(); ++entry) {
        const bool isReady = entry->second->state() == PeerLink::State::Ready;
        if (isReady
            && (oldest == links_.end()
                || entry->second->lastFrameAt() < oldest->second->lastFrameAt()))
            oldest = entry;
    }
    if (oldest == links_.end())
        oldest = links_.begin();
    ++stats_.evicted;
    events_(Event{&events::peerLinksFull, {{"closed", oldest->second->peer()}}});
    removeLink(oldest)->close();
}

void PeerLinks::scheduleTick()
{
    hasIdleTick_ = isIdle();
    timer_.expires_after(hasIdleTick_ ? kIdleTickPeriod : kTickPeriod);
    timer_.async_wait(whileAlive([this](const boost::system::error_code &error) {
        if (error || isStopped_)
            return;
        tick();
        scheduleTick();
    }));
}

void PeerLinks::tick()
{
    const Millis now = clock_.now();
    std::vector<Handle> handles;
    handles.reserve(links_.size());
    for (const auto &entry : links_)
        handles.push_back(entry.first);
    for (const Handle &handle : handles) {
        const auto found = links_.find(handle);
        if (found == links_.end() || !mustClose(*found->second, now))
            continue;
        removeLink(found)->close();
    }
    dropExpiredQueues(now);
    std::vector<PeerAddress> waiting;
    waiting.reserve(queues_.size());
    for (const auto &entry : queues_)
        waiting.push_back(entry.first);
    for (const PeerAddress &to : waiting)
        flush(to);
}

bool PeerLinks::mustClose(PeerLink &link, Millis now)
{
    if (link.state() == PeerLink::State::Handshake) {
        if (now < link.createdAt() + config_.handshakeTimeout)
            return false;
        ++stats_.refused;
        return true;
    }
    const Millis receiveAge = now - link.lastReceivedAt();
    // A middlebox may drop the state of an open connection: neither FIN nor RST arrives and frames
    // are lost, while a new connection would work. Only received data shows that a link is alive.
    if (receiveAge >= config_.receiveTimeout && guardEnabled(Guard::SilentLinkReplaced)) {
        ++stats_.silent;
        events_(Event{&events::peerLinkReplaced, {{"peer", link.peer()}}});
        return true;
    }
    if (now - link.lastFrameAt() >= config_.idleTimeout)
        return true;
    if (receiveAge >= config_.pingAfter && now >= link.lastPingAt() + config_.pingAfter)
        link.ping(now);
    return false;
}

void PeerLinks::dropExpiredQueues(Millis now)
{
    for (auto entry = queues_.begin(); entry != queues_.end();) {
        const bool isExpired = now >= entry->second.nonEmptySince + config_.receiveTimeout;
        if (isExpired)
            stats_.dropped += entry->second.frames.size();
        entry = isExpired ? queues_.erase(entry) : std::next(entry);
    }
}

} // namespace cuminrail
