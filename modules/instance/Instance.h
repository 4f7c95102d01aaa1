#pragma once

#include "instance/admin/AdminServer.h"
#include "instance/config/InstanceConfig.h"
#include "instance/control/ControlPlane.h"
#include "instance/request/RequestWorker.h"
#include "instance/serving/AdmissionDesk.h"
#include "instance/serving/ServingContext.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace cuminrail {

/**
    One instance: its request threads, its control thread and its admin server.

    @code
    Instance instance(config, log.sink());
    instance.control().addStopHook(…);
    if (!instance.start(&reason)) …
    instance.wait();
    @endcode
*/
class Instance
{
public:
    Instance(InstanceConfig config, EventSink events);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Services outside the request path register their hooks here, before start(). */
    ControlPlane &control() { return control_; }
    ServingContext &context() { return context_; }
    AdmissionDesk &admission() { return admission_; }

    /** Listens and starts all threads. */
    bool start(Reason *lastReason);
    std::uint16_t port() const;
    std::uint16_t adminPort() const { return admin_.port(); }

    /** Publishes settings and waits until all request threads see them. Must not be called on the
        control thread. */
    void publish(const Settings &settings);

    /** Begins the graceful stop. May be called from any thread and more than once. */
    void drain();
    /** Blocks until the graceful stop has completed. */
    void wait();
    /** Reloads changed certificate files now instead of at the next check. Control thread only. */
    void reloadTls();
    /** Ends all threads. Handlers on the control loop, such as those for signals, must outlive
        this call. */
    void shutDown();
    /** Returns true once the graceful stop has completed. */
    bool isStopped() const;
    /** Returns how many connections were still busy when the drain limit expired. */
    std::size_t cutAtStop() const { return cutAtStop_; }

private:
    void beginDrain();
    void stopListening();
    void countBusyRequests();
    void handleBusyCount(std::size_t busy);
    void endDrain();
    void finishStop();

    ServingContext context_;
    AdmissionDesk admission_;
    ControlPlane control_;
    std::unique_ptr<TlsFiles> tls_;
    std::vector<std::unique_ptr<RequestWorker>> workers_;
    AdminServer admin_;
    std::unique_ptr<Deadline> drainTimer_;
    Millis drainDeadline_ = Millis::never();
    std::size_t cutAtStop_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable stopCompleted_;
    bool isStopped_ = false;
};

} // namespace cuminrail
