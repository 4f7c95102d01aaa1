#pragma once

#include "net/testing/ScriptedUpstream.h"
#include "net/upstream/UpstreamPool.h"
#include "runtime/threads/IoThread.h"

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>

namespace cuminrail::testing {

/** Outcome of one attempt. */
struct PoolResult
{
    UpstreamEnd end;
    std::string body;
    int status = 0;
};

/** A pool on its own thread, called from the test's thread. */
class PoolClient
{
public:
    explicit PoolClient(UpstreamPoolLimits limits = {})
        : thread_(Millis(2)),
          pool_(std::make_unique<UpstreamPool>(thread_.io(), thread_.deadlines(), limits))
    {
        thread_.start();
    }
    ~PoolClient()
    {
        thread_.stop();
        thread_.join();
        pool_->closeAll();
        thread_.runLeftovers();
    }
    PoolClient(const PoolClient &) = delete;
    PoolClient &operator=(const PoolClient &) = delete;

    static UpstreamRequest request(const std::string &address, const std::string &id)
    {
        UpstreamRequest request;
        request.address = address;
        request.requestId = id;
        request.wire = "POST /run HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id
            + "\r\nContent-Length: 4\r\n\r\nbody";
        return request;
    }

    PoolResult call(const UpstreamRequest &request)
    {
        auto result = std::make_shared<PoolResult>();
        auto ended = std::make_shared<std::promise<void>>();
        UpstreamHooks hooks;
        hooks.onHead = [result](HttpHead &head) { result->status = head.status; };
        hooks.onBody = [result](std::string_view data) { result->body += data; };
        hooks.onEnd = [result, ended](const UpstreamEnd &end) {
            result->end = end;
            ended->set_value();
        };
        auto future = ended->get_future();
        thread_.post([this, request, hooks] { pool_->start(request, hooks); });
        REQUIRE(future.wait_for(std::chrono::seconds(testTimeoutSeconds))
                == std::future_status::ready);
        return *result;
    }

    /** Makes a call whose response is read no further once a part of its body has arrived. */
    UpstreamEnd callPaused(const UpstreamRequest &request)
    {
        auto ended = std::make_shared<std::promise<UpstreamEnd>>();
        auto call = std::make_shared<UpstreamCall>();
        UpstreamHooks hooks;
        hooks.onBody = [call](std::string_view) { call->pause(); };
        hooks.onEnd = [ended](const UpstreamEnd &end) { ended->set_value(end); };
        auto future = ended->get_future();
        thread_.post([this, request, hooks, call] { *call = pool_->start(request, hooks); });
        REQUIRE(future.wait_for(std::chrono::seconds(testTimeoutSeconds))
                == std::future_status::ready);
        return future.get();
    }

    /** Returns the verdict of a call right after its connection was made, before it is told that
        its write is done, and cancels it. */
    Verdict verdictWhileWriting(const UpstreamRequest &request)
    {
        auto verdict = std::make_shared<std::promise<Verdict>>();
        auto call = std::make_shared<UpstreamCall>();
        UpstreamHooks hooks;
        hooks.onConnected = [this, verdict, call] {
            // Runs before the completion of the write that follows the hook.
            thread_.post([verdict, call] {
                verdict->set_value(call->verdictSoFar());
                call->cancel();
            });
        };
        auto future = verdict->get_future();
        thread_.post([this, request, hooks, call] { *call = pool_->start(request, hooks); });
        REQUIRE(future.wait_for(std::chrono::seconds(testTimeoutSeconds))
                == std::future_status::ready);
        return future.get();
    }

    void cutAt(SendPoint point)
    {
        thread_.run([&] {
            pool_->setFaultHook(
                [point](SendPoint here, const UpstreamRequest &) { return here == point; });
        });
    }

    std::size_t idle()
    {
        std::size_t count = 0;
        thread_.run([&] { count = pool_->idleConnections(); });
        return count;
    }

private:
    IoThread thread_;
    std::unique_ptr<UpstreamPool> pool_;
};

/** Responds to every request with the request's own identity. */
inline void respondToAll(ScriptedUpstream::Connection &connection)
{
    for (;;) {
        const ReceivedRequest request = connection.read();
        if (request.text.empty())
            return;
        const std::string id = request.header("X-Request-Id");
        connection.socket.send(plainResponse(id, "for " + id));
    }
}

} // namespace cuminrail::testing
