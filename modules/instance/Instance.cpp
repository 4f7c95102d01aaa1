#include "instance/Instance.h"

#include "core/events/EventCatalogue.h"

#include <atomic>
#include <random>

namespace cuminrail {

namespace {

constexpr Millis stopHookTimeout = Millis::seconds(10);
constexpr Millis busyPollInterval{50};
constexpr Millis tlsCheckInterval = Millis::seconds(2);

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

} // namespace

Instance::Instance(InstanceConfig config, EventSink events)
    : context_(std::move(config)), control_(context_, admission_),
      admin_(control_, workers_, [this] { drain(); })
{
    context_.events = std::move(events);
    const InstanceConfig &instanceConfig = context_.config;
    if (!instanceConfig.tlsCertificate.empty()) {
        tls_ = std::make_unique<TlsFiles>(instanceConfig.tlsCertificate, instanceConfig.tlsKey);
        control_.addTick(tlsCheckInterval, [this](Millis) { reloadTls(); });
    }
    const auto load = std::make_shared<ServerLoad>();
    for (std::uint32_t i = 0; i < instanceConfig.threads; ++i)
        workers_.push_back(
            std::make_unique<RequestWorker>(context_, admission_, load, randomSeed()));
}

Instance::~Instance()
{
    shutDown();
    // Destroying the objects that started a pending operation cancels it. The handlers of such
    // operations hold deadlines, which must be destroyed before the deadline list they are in.
    control_.thread().runLeftovers();
}

void Instance::shutDown()
{
    for (const auto &worker : workers_)
        worker->stop();
    control_.thread().stop();
    control_.thread().join();
    // Admin connections refer to the server, and their handlers are queued in the event loop:
    // they are closed while both still exist.
    admin_.closeAll();
    control_.thread().runLeftovers();
    control_.end();
}

bool Instance::start(Reason *lastReason)
{
    const InstanceConfig &config = context_.config;
    if (tls_ && !tls_->load(lastReason))
        return false;
    ListenAddress address = config.listen;
    for (const auto &worker : workers_) {
        if (!worker->listen(address, tls_.get(), lastReason))
            return false;
        address.port = worker->port();
    }
    if (!admin_.listen(config.adminListen, lastReason))
        return false;
    control_.start();
    for (const auto &worker : workers_)
        worker->start();
    context_.events(
        Event{&events::processStarted,
              {{"listen", address.toString()},
               {"admin", config.adminListen.address + ":" + std::to_string(admin_.port())},
               {"failure_domain", config.failureDomain.text()}}});
    return true;
}

std::uint16_t Instance::port() const
{
    return workers_.front()->port();
}

void Instance::publish(const Settings &settings)
{
    control_.thread().run([&] { control_.publish(settings); });
}

void Instance::reloadTls()
{
    Reason reason;
    if (tls_->reloadIfChanged(&reason))
        context_.events(Event{&events::certificateReloaded, {}});
    else if (!reason.what.empty())
        context_.events(Event{&events::certificateNotReloaded, {{"reason", reason.toString()}}});
}

void Instance::drain()
{
    control_.thread().post([this] { beginDrain(); });
}

void Instance::beginDrain()
{
    if (context_.isStopping.exchange(true))
        return;
    context_.events(Event{&events::processStopping, {}});
    drainDeadline_ =
        control_.thread().deadlines().now() + context_.config.drainLag + context_.config.drainLimit;
    // The load balancer notices with a delay that this instance is not ready and sends requests
    // until then. They must be served; otherwise a planned stop would refuse requests.
    drainTimer_ =
        std::make_unique<Deadline>(control_.thread().deadlines(), [this] { stopListening(); });
    drainTimer_->setAfter(context_.config.drainLag);
}

void Instance::stopListening()
{
    for (const auto &worker : workers_) {
        worker->post([&server = worker->server()] {
            server.closeAfterResponses();
            server.stopListening();
        });
    }
    drainTimer_ =
        std::make_unique<Deadline>(control_.thread().deadlines(), [this] { countBusyRequests(); });
    drainTimer_->setAfter(busyPollInterval);
}

void Instance::countBusyRequests()
{
    struct BusyCount
    {
        std::atomic<std::size_t> pending{0};
        std::atomic<std::size_t> busy{0};
    };
    const auto count = std::make_shared<BusyCount>();
    count->pending = workers_.size();
    for (const auto &worker : workers_) {
        worker->post([this, count, &requestWorker = *worker] {
            count->busy += requestWorker.server().busyConnections()
                + requestWorker.counters().inProgress.load();
            if (--count->pending == 0)
                control_.thread().post([this, count] { handleBusyCount(count->busy); });
        });
    }
}

void Instance::handleBusyCount(std::size_t busy)
{
    if (busy > 0 && control_.thread().deadlines().now() < drainDeadline_) {
        drainTimer_->setAfter(busyPollInterval);
        return;
    }
    cutAtStop_ = busy;
    endDrain();
}

void Instance::endDrain()
{
    for (const auto &worker : workers_)
        worker->post([&server = worker->server()] { server.closeIdle(); });
    control_.runStopHooks(stopHookTimeout, [this] { finishStop(); });
}

void Instance::finishStop()
{
    context_.events(Event{&events::processStopped, {{"cut", std::to_string(cutAtStop_)}}});
    const std::lock_guard<std::mutex> lock(mutex_);
    isStopped_ = true;
    stopCompleted_.notify_all();
}

void Instance::wait()
{
    std::unique_lock<std::mutex> lock(mutex_);
    stopCompleted_.wait(lock, [this] { return isStopped_; });
}

bool Instance::isStopped() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return isStopped_;
}

} // namespace cuminrail
