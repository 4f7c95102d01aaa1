#include "peerlink/PeerLinks.h"

#include "core/events/EventCatalogue.h"
#include "runtime/address/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

using Error = websocketpp::lib::error_code;
using boost::asio::ip::tcp;

constexpr long kDialTimeoutMs = 2000;
constexpr long kCloseTimeoutMs = 1000;

PeerAddress toAddress(const tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string bracketed = endpoint.address().is_v6() ? "[" + host + "]" : host;
    return bracketed + ":" + std::to_string(endpoint.port());
}

template<typename Endpoint>
void disableLogs(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_user_agent(""); // hides the library's version from unauthenticated clients
}

void disableNagle(const detail::PeerConnection &connection)
{
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
}

} // namespace

PeerLinks::PeerLinks(boost::asio::io_context &context, PeerLinksConfig config,
                     SharedSecrets secrets, Clock clock, EventSink events)
    : context_(context), config_(config), secrets_(std::move(secrets)), clock_(std::move(clock)),
      events_(std::move(events)), timer_(context)
{
    Error error;
    disableLogs(server_);
    disableLogs(client_);
    server_.init_asio(&context_, error);
    client_.init_asio(&context_, error);
    setHandlers();
    scheduleTick();
}

PeerLinks::~PeerLinks()
{
    stop();
}

void PeerLinks::setHandlers()
{
    setCommonHandlers(server_);
    setCommonHandlers(client_);
    server_.set_tcp_pre_init_handler(
        whileAlive([this](const Handle &handle) { handleOpening(handle); }));
    server_.set_validate_handler(whileAlive([this](const Handle &) { return canAccept(); }));
    server_.set_open_handler(whileAlive([this](const Handle &handle) { handleAccepted(handle); }));
    server_.set_http_handler(whileAlive([this](const Handle &handle) {
        // Plain HTTP gets a 404 that does not identify this program.
        Error error;
        if (const auto connection = server_.get_con_from_hdl(handle, error))
            connection->set_status(websocketpp::http::status_code::not_found);
    }));
    client_.set_open_handler(whileAlive([this](const Handle &handle) {
        Error error;
        const auto connection = client_.get_con_from_hdl(handle, error);
        if (!connection)
            return;
        // A link removed while connecting could not be closed before.
        if (links_.count(handle) == 0)
            connection->close(websocketpp::close::status::normal, "", error);
        else
            disableNagle(connection);
    }));
}

template<typename Endpoint>
void PeerLinks::setCommonHandlers(Endpoint &endpoint)
{
    endpoint.set_open_handshake_timeout(kDialTimeoutMs);
    endpoint.set_close_handshake_timeout(kCloseTimeoutMs);
    endpoint.set_max_message_size(detail::PeerWebsocketConfig::max_message_size);
    endpoint.set_message_handler(
        whileAlive([this](const Handle &handle, const typename Endpoint::message_ptr &message) {
            handleMessage(handle, message->get_payload());
        }));
    const auto recordActivity = [this](const Handle &handle) {
        const auto found = links_.find(handle);
        if (found != links_.end())
            found->second->recordActivity(clock_.now());
        return found != links_.end();
    };
    endpoint.set_pong_handler(
        whileAlive([this, recordActivity](const Handle &handle, const std::string &) {
            if (recordActivity(handle))
                ++stats_.pongs;
        }));
    // A ping shows as much as a pong, so of the two ends of an idle link only one has to send any.
    endpoint.set_ping_handler(
        whileAlive([recordActivity](const Handle &handle, const std::string &) {
            recordActivity(handle);
            return true;
        }));
    endpoint.set_close_handler(whileAlive([this](const Handle &handle) { handleClosed(handle); }));
    endpoint.set_fail_handler(whileAlive([this](const Handle &handle) { handleClosed(handle); }));
}

std::optional<PeerAddress> PeerLinks::listen(const PeerAddress &address, PeerAddress advertised,
                                             Reason *lastReason)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        fail(lastReason, address, "is not an IP address and port");
        return std::nullopt;
    }
    Error error;
    server_.set_reuse_addr(true);
    server_.listen(*endpoint, error);
    if (!error)
        server_.start_accept(error);
    if (error) {
        fail(lastReason, address, error.message());
        return std::nullopt;
    }
    isListening_ = true;
    boost::system::error_code localError;
    const tcp::endpoint local = server_.get_local_endpoint(localError);
    self_ = advertised.empty() ? toAddress(local) : std::move(advertised);
    return self_;
}

PeerTransport PeerLinks::transport()
{
    PeerTransport port;
    port.send = [this](const PeerAddress &to, std::string frame) { send(to, std::move(frame)); };
    return port;
}

void PeerLinks::send(const PeerAddress &to, std::string frame)
{
    const bool isUnlinked = !config_.waitsForLinks && !readyLink(to);
    if (isStopped_ || isUnlinked || frame.size() > FrameLimits::bytes) {
        ++stats_.dropped;
        return;
    }
    enqueue(to, std::move(frame));
    flush(to);
    if (hasIdleTick_ && !isIdle())
        scheduleTick();
}

std::size_t PeerLinks::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[peer, queue] : queues_)
        bytes += queue.bytes;
    for (const auto &[handle, link] : links_)
        bytes += link->bufferedBytes();
    return bytes;
}

bool PeerLinks::isIdle() const
{
    return queues_.empty();
}

// Bounds the memory used for a peer that does not read. Late frames are of little use, as probes
// and settings queries are sent again, so the oldest frame is dropped first.
void PeerLinks::enqueue(const PeerAddress &to, std::string frame)
{
    Queue &queue = queues_[to];
    if (queue.frames.empty())
        queue.nonEmptySince = clock_.now();
    queue.bytes += frame.size();
    queue.frames.push_back(std::move(frame));
    while (queue.frames.size() > config_.maxQueuedFrames || queue.bytes > config_.maxQueuedBytes) {
        queue.bytes -= queue.frames.front().size();
        queue.frames.pop_front();
        ++stats_.dropped;
    }
}

void PeerLinks::flush(const PeerAddress &to)
{
    const auto found = queues_.find(to);
    if (found == queues_.end())
        return;
    const LinkPtr link = readyLink(to);
    if (!link) {
        if (isDialling(to) || clock_.now() < found->second.nextDialAt)
            return;
        found->second.nextDialAt = clock_.now() + config_.redialInterval;
        dial(to);
        return;
    }
    Queue &queue = found->second;
    while (!queue.frames.empty() && link->bufferedBytes() < config_.maxSocketBytes) {
        const std::string frame = std::move(queue.frames.front());
        queue.frames.pop_front();
        queue.bytes -= frame.size();
        link->send(frame, clock_.now());
        ++stats_.framesSent;
        stats_.bytesSent += frame.size() + FrameSeal::overhead;
    }
    if (queue.frames.empty())
        queues_.erase(found);
}

void PeerLinks::connect(const PeerAddress &to)
{
    if (!isStopped_ && !readyLink(to) && !isDialling(to))
        dial(to);
}

PeerLinks::LinkPtr PeerLinks::readyLink(const PeerAddress &to) const
{
    const auto found = ready_.find(to);
    return found == ready_.end() ? nullptr : found->second;
}

PeerLinks::LinkPtr PeerLinks::removeLink(Links::iterator entry)
{
    LinkPtr link = entry->second;
    links_.erase(entry);
    if (link->state() == PeerLink::State::Ready)
        noteClosed(link->peer());
    const auto found = ready_.find(link->peer());
    if (found == ready_.end() || found->second != link)
        return link;
    ready_.erase(found);
    // Both ends may have connected at the same time; the older link is still usable.
    for (const auto &[handle, other] : links_) {
        if (other->state() == PeerLink::State::Ready && other->peer() == link->peer())
            ready_[link->peer()] = other;
    }
    return link;
}

void PeerLinks::noteClosed(const PeerAddress &peer)
{
    if (!config_.waitsForLinks)
        queues_.erase(peer);
    if (!closedHandler_ || isStopped_)
        return;
    boost::asio::post(context_, [alive = std::weak_ptr<bool>(alive_), this, peer] {
        if (!alive.expired() && !isStopped_)
            closedHandler_(peer);
    });
}

bool PeerLinks::isDialling(const PeerAddress &to) const
{
    return std::any_of(links_.begin(), links_.end(), [&](const auto &entry) {
        const PeerLink &link = *entry.second;
        return link.state() == PeerLink::State::Handshake && !link.isAccepted()
            && link.peer() == to;
    });
}

void PeerLinks::dial(const PeerAddress &to)
{
    if (!parseRemoteEndpoint(to)) {
        queues_.erase(to);
        ++stats_.dropped;
        return;
    }
    evictIfFull();
    Error error;
    const detail::PeerConnection connection = client_.get_connection("ws://" + to + "/", error);
    if (error)
        return;
    ++stats_.dialled;
    links_[connection->get_handle()] = std::make_shared<PeerLink>(
        connection, ConnectingHandshake(secrets_, self_, to), to, clock_.now());
    client_.connect(connection);
}

bool PeerLinks::canAccept()
{
    const auto unauthenticated =
        static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) {
            return entry.second->isAccepted()
                && entry.second->state() == PeerLink::State::Handshake;
        }));
    return !isStopped_ && unauthenticated < config_.maxUnauthenticated;
}

void PeerLinks::handleAccepted(const Handle &handle)
{
    removeOpening(handle);
    Error error;
    const detail::PeerConnection connection = server_.get_con_from_hdl(handle, error);
    if (!connection)
        return;
    evictIfFull();
    disableNagle(connection);
    const auto link =
        std::make_shared<PeerLink>(connection, AcceptingHandshake(secrets_, self_), clock_.now());
    links_[handle] = link;
    link->handleOpen();
}

void PeerLinks::handleMessage(const Handle &handle, const std::string &bytes)
{
    const auto found = links_.find(handle);
    if (found == links_.end())
        return;
    const LinkPtr link = found->second;
    PeerLink::MessageResult result = link->handleMessage(bytes, clock_.now());
    if (result.isRefused) {
        refuse(handle);
        return;
    }
    if (result.becameReady) {
        ready_[link->peer()] = link;
        flush(link->peer());
    }
    if (!result.frame)
        return;
    ++stats_.framesReceived;
    stats_.bytesReceived += bytes.size();
    if (handler_)
        handler_(link->peer(), std::move(*result.frame));
}

void PeerLinks::refuse(const Handle &handle)
{
    const LinkPtr link = removeLink(links_.find(handle));
    ++stats_.refused;
    events_(Event{&events::peerLinkRefused,
                  {{"accepted", link->isAccepted() ? "true" : "false"},
                   {"peer", link->state() == PeerLink::State::Ready ? link->peer() : ""}}});
    link->close();
}

void PeerLinks::handleClosed(const Handle &handle)
{
    removeOpening(handle);
    const auto found = links_.find(handle);
    if (found != links_.end())
        removeLink(found);
}

void PeerLinks::stop()
{
    if (std::exchange(isStopped_, true))
        return;
    timer_.cancel();
    Error error;
    if (isListening_)
        server_.stop_listening(error);
    const Links links = std::exchange(links_, Links());
    ready_.clear();
    for (const auto &entry : links)
        entry.second->close();
    queues_.clear();
}

} // namespace cuminrail
