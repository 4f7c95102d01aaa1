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
    One instance: request threads, the control thread, and the operators' address.

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

    /** What runs beside the request path registers here, before start(). */
    ControlPlane &control() { return control_; }
    ServingContext &context() { return context_; }
    AdmissionDesk &admission() { return admission_; }

    /** Listens and starts all threads. */
    bool start(Reason *lastReason);
    std::uint16_t port() const;
    std::uint16_t adminPort() const { return admin_.port(); }

    /** Puts settings in force and waits until all request threads see them. Not on the control
        thread. */
    void publish(const Settings &settings);

    /** Begins the graceful stop; safe from any thread, and more than once. */
    void drain();
    /** Returns when the graceful stop is over. */
    void wait();
    /** Reads changed certificate files now instead of at the next check. Control thread. */
    void reloadTls();
    /** Ends all threads. Signal handlers and the like on the control loop must outlive this. */
    void shutDown();
    /** Returns true once the graceful stop is over. */
    bool isStopped() const;
    /** Returns how many connections were still at work when the drain's limit ended it. */
    std::size_t cutAtStop() const { return cutAtStop_; }

private:
    void beginDrain();
    void stopListening();
    void watchRequests();
    void requestsCounted(std::size_t busy);
    void endDrain();
    void stopped();

    ServingContext context_;
    AdmissionDesk admission_;
    ControlPlane control_;
    std::unique_ptr<TlsFiles> tls_;
    std::vector<std::unique_ptr<RequestWorker>> workers_;
    AdminServer admin_;
    std::unique_ptr<Deadline> drainStep_;
    Millis drainEnd_ = Millis::never();
    std::size_t cutAtStop_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopped_ = false;
};

} // namespace cuminrail
