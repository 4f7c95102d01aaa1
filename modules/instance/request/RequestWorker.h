#pragma once

#include "core/random/Random.h"
#include "instance/request/ErrorAnswer.h"
#include "instance/serving/AdmissionDesk.h"
#include "instance/serving/RequestCounters.h"
#include "instance/serving/ServingContext.h"
#include "net/server/HttpServer.h"
#include "net/upstream/UpstreamPool.h"
#include "runtime/threads/IoThread.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace cuminrail {

class RequestFlow;

/**
    A request thread with its event loop, server on the shared port and upstream connections.

    A request stays on the thread that received it.
*/
class RequestWorker
{
public:
    RequestWorker(ServingContext &context, AdmissionDesk &admission,
                  std::shared_ptr<ServerLoad> load, std::uint64_t seed);
    ~RequestWorker();
    RequestWorker(const RequestWorker &) = delete;
    RequestWorker &operator=(const RequestWorker &) = delete;

    /** Opens the listening socket. Must be called before start(). */
    bool listen(const ListenAddress &address, const TlsFiles *tls, Reason *lastReason);
    std::uint16_t port() const { return server_.port(); }
    void start();
    /** Stops the thread; requests still in progress are aborted. */
    void stop();

    /** Runs a function on the worker's thread without waiting. Thread-safe. */
    void post(std::function<void()> function) { thread_.post(std::move(function)); }
    /** Runs a function on the worker's thread and waits for it. */
    void run(const std::function<void()> &function) { thread_.run(function); }

    // Only on the worker's thread:
    HttpServer &server() { return server_; }
    UpstreamPool &pool() { return pool_; }
    DeadlineList &deadlines() { return thread_.deadlines(); }
    const RandomHook &random() const { return random_; }
    std::string nextRequestId();
    /** Keeps a request's flow alive until release(). */
    void keep(const std::shared_ptr<RequestFlow> &flow) { flows_.insert(flow); }
    void release(const std::shared_ptr<RequestFlow> &flow) { flows_.erase(flow); }
    /** Logs a sample of the routing decisions. */
    void sampleDecision(const RoutingRequest &request, const RoutingChoice &choice,
                        const RoutingTable &table);
    void reportRefusal(const std::string &requestId, const CustomerId &customer,
                       const Refusal &refusal);

    ServingContext &context() { return context_; }
    AdmissionDesk &admission() { return admission_; }
    RequestCounters &counters() { return counters_; }

private:
    HttpServerHooks serverHooks();
    std::optional<HttpResponse> checkHead(const HttpHead &head);
    HttpResponse protocolErrorResponse(int status, const Reason &reason);
    HttpResponse rejectRequest(const Refusal &refusal);

    ServingContext &context_;
    AdmissionDesk &admission_;
    RequestCounters counters_;
    IoThread thread_;
    RandomHook random_;
    std::string idPrefix_;
    std::uint64_t lastId_ = 0;
    std::uint64_t decisionCount_ = 0;
    UpstreamPool pool_;
    HttpServer server_;
    std::unordered_set<std::shared_ptr<RequestFlow>> flows_;
};

} // namespace cuminrail
