#include "net/upstream/UpstreamPool.h"

#include "net/upstream/UpstreamConnection.h"

#include <algorithm>

namespace cuminrail {

UpstreamCall::UpstreamCall(std::shared_ptr<detail::UpstreamConnection> connection,
                           std::uint64_t attempt)
    : connection_(std::move(connection)), attempt_(attempt)
{ }

bool UpstreamCall::isActive() const
{
    return connection_ != nullptr && connection_->attempt() == attempt_;
}

void UpstreamCall::pause()
{
    if (isActive())
        connection_->pause();
}

void UpstreamCall::resume()
{
    if (isActive())
        connection_->resume();
}

void UpstreamCall::cancel()
{
    if (isActive())
        connection_->cancel();
}

Verdict UpstreamCall::verdictSoFar() const
{
    return isActive() ? connection_->verdictSoFar() : Verdict::MayHaveRun;
}

Millis UpstreamPoolLimits::toleratedSilence() const
{
    // The connection is closed at the first probe that is due after the time-out, if the one before
    // was not answered. Silence can begin just before the first probe.
    Millis closedAt = probeAfter + probeEvery;
    while (closedAt < unacknowledged)
        closedAt += probeEvery;
    return std::min(closedAt - probeEvery - probeAfter, unacknowledged);
}

UpstreamPool::UpstreamPool(boost::asio::io_context &io, DeadlineList &deadlines,
                           UpstreamPoolLimits limits)
    : io_(io), deadlines_(deadlines), limits_(limits), responses_(limits.responseBytes)
{ }

UpstreamPool::~UpstreamPool()
{
    closeAll();
}

void UpstreamPool::closeAll()
{
    const auto open = open_;
    for (const Connection &connection : open)
        connection->cancel();
}

UpstreamCall UpstreamPool::start(UpstreamRequest request, UpstreamHooks hooks)
{
    Connection connection;
    if (!request.needsFreshConnection && !request.isProbe)
        connection = takeIdle(request);
    if (connection == nullptr) {
        connection = std::make_shared<detail::UpstreamConnection>(*this, request.address);
        open_.insert(connection);
    }
    connection->begin(std::move(request), std::move(hooks));
    return {connection, connection->attempt()};
}

UpstreamPool::Connection UpstreamPool::takeIdle(const UpstreamRequest &request)
{
    for (;;) {
        const auto found = idle_.find(request.address);
        if (found == idle_.end())
            return nullptr;
        auto &idle = found->second;
        // A middlebox is least likely to have dropped the most recently used connection.
        const auto chosen =
            std::find_if(idle.rbegin(), idle.rend(), [&](const Connection &connection) {
                return connection->canTellResponseOf(request);
            });
        if (chosen == idle.rend())
            return nullptr;
        Connection connection = *chosen;
        idle.erase(std::next(chosen).base());
        // Bytes of a late response that are here already need not be sorted out afterwards.
        const bool isIdleTooLong = deadlines_.now() - connection->idleSince() > request.maxIdleTime;
        if (!isIdleTooLong && (request.isEchoRequired || !connection->isStale()))
            return connection;
        connection->close();
    }
}

void UpstreamPool::keepIdle(const Connection &connection)
{
    auto &idle = idle_[connection->address()];
    idle.push_back(connection);
    if (idle.size() > limits_.idlePerAddress) {
        const Connection oldest = idle.front();
        oldest->close();
    }
}

void UpstreamPool::removeConnection(const Connection &connection)
{
    const auto found = idle_.find(connection->address());
    if (found != idle_.end()) {
        auto &idle = found->second;
        idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
        if (idle.empty())
            idle_.erase(found);
    }
    open_.erase(connection);
}

std::size_t UpstreamPool::idleConnections() const
{
    std::size_t count = 0;
    for (const auto &[address, connections] : idle_)
        count += connections.size();
    return count;
}

bool UpstreamPool::areIdleUnanswered() const
{
    constexpr std::size_t mostAddresses = 4;
    std::size_t seen = 0;
    for (const auto &[address, connections] : idle_) {
        if (connections.empty() || seen == mostAddresses)
            continue;
        ++seen;
        if (!connections.back()->isUnanswered())
            return false;
    }
    return seen > 0;
}

void UpstreamPool::noteIdleLost() const
{
    if (!idleLost_)
        return;
    const auto handler = idleLost_;
    handler();
}

void UpstreamPool::noteStray(const StrayResponse &stray) const
{
    if (strayFound_)
        strayFound_(stray);
}

bool UpstreamPool::isCutAt(SendPoint point, const UpstreamRequest &request) const
{
    return faultHook_ && faultHook_(point, request);
}

} // namespace cuminrail
