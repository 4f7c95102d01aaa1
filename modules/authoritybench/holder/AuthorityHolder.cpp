#include "authoritybench/holder/AuthorityHolder.h"

#include "lease/manager/LeaseManager.h"
#include "orders/manager/OrderManager.h"
#include "platform/platform.h"
#include "runtime/time/BootClock.h"
#include "usage/usage.h"

#include <boost/asio/signal_set.hpp>

#include <chrono>

namespace cuminrail::authoritybench {

namespace {

const char *const ordersDuty = "orders-east";
const char *const usageDuty = "usage-north";
const char *const teamName = "north";
const char *const customerName = "chamber";
constexpr Millis tickEvery{10};
constexpr Millis patience{300};

LeaseTiming leaseTiming()
{
    LeaseTiming timing;
    timing.term = Millis(800);
    timing.renewInterval = Millis(200);
    timing.pollInterval = Millis(150);
    timing.margin = Millis(150);
    timing.stagger = Millis(50);
    timing.fullShareDelay = Millis(200);
    timing.listInterval = Millis(2000);
    timing.rebalanceInterval = Millis::minutes(60);
    timing.firstRetryDelay = Millis(50);
    timing.maxRetryDelay = Millis(200);
    return timing;
}

OrderTiming orderTiming()
{
    OrderTiming timing;
    timing.sendMargin = Millis(100);
    timing.maxInFlight = maxAuthoritySendInFlight;
    timing.settleInterval = Millis(30);
    timing.retryInterval = Millis(30);
    return timing;
}

UsageTiming usageTiming()
{
    UsageTiming timing;
    timing.windowLength = Millis(1000);
    timing.grace = Millis(200);
    timing.retryInterval = Millis(50);
    timing.sendMargin = Millis(100);
    return timing;
}

Millis calendarTime()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

PlatformClientOptions clientOptions(const HolderOptions &options)
{
    PlatformClientOptions client;
    client.instance = options.instance.text();
    client.connectTimeout = patience;
    client.answerTimeout = patience;
    return client;
}

} // namespace

class AuthorityHolder::Impl
{
public:
    explicit Impl(const HolderOptions &options)
        : options_(options), random_(seededRandom(options.seed)), deadlines_(io_, bootClock()),
          client_(io_, deadlines_, clientOptions(options)),
          store_(makeHttpObjectStore(client_, options.platform)),
          life_{options.instance, static_cast<Incarnation>(calendarTime().count())},
          leases_(life_, leaseTiming(), leaseHooks()), orders_(orderTiming(), orderHooks()),
          reporter_(TeamId(teamName), usageTiming(), reporterHooks()),
          flusher_(TeamId(teamName), life_, flusherHooks()), ticker_(io_),
          signals_(io_, SIGTERM, SIGINT)
    {
        std::vector<OrderedEngine> engines;
        for (const HolderEngine &engine : options.engines)
            engines.push_back(engine.engine);
        orders_.setEngines(engines);
    }

    void run()
    {
        deadlines_.start();
        signals_.async_wait([this](const boost::system::error_code &, int) { io_.stop(); });
        tick();
        io_.run();
    }

private:
    std::optional<Authority> authority(const char *duty) const
    {
        return leases_.authority(duty, bootTime());
    }

    LeaseManager::Hooks leaseHooks()
    {
        LeaseManager::Hooks hooks{store_, bootClock(), random_, ignoreEvents(), {}, {}, {}, {}};
        hooks.duties = [] { return std::vector<std::string>{ordersDuty, usageDuty}; };
        hooks.liveMembers = [this] { return options_.members; };
        hooks.onLeaseAcquired = [this](const std::string &duty, const Authority &) {
            if (duty == ordersDuty)
                orders_.onLeaseAcquired();
            else
                reporter_.onLeaseAcquired();
        };
        hooks.onLeaseLost = [this](const std::string &duty) {
            if (duty == ordersDuty)
                orders_.onLeaseLost();
            else
                reporter_.onLeaseLost();
        };
        return hooks;
    }

    OrderManager::Hooks orderHooks()
    {
        const auto addressOf = [this](const UpstreamId &id) -> std::optional<std::string> {
            for (const HolderEngine &engine : options_.engines) {
                if (engine.engine.id == id)
                    return engine.address;
            }
            return std::nullopt;
        };
        return {{store_, makeHttpEngineControl(client_, addressOf), bootClock(), random_,
                 ignoreEvents(), [this] { return authority(ordersDuty); },
                 [](const OrderRecord &) {}, options_.instance.text()},
                nullptr};
    }

    UsageReporter::Hooks reporterHooks()
    {
        return {store_,         makeHttpUsageReceiver(client_, options_.platform),
                bootClock(),    random_,
                ignoreEvents(), [this] { return authority(usageDuty); },
                calendarTime,   [](const std::string &) { return true; }};
    }

    UsageFlusher::Hooks flusherHooks()
    {
        return {store_, bootClock(), random_,
                [] { return WindowIndex(calendarTime().count() / 1000); },
                [] { return Millis(150); }};
    }

    void tick()
    {
        leases_.tick();
        orders_.tick();
        reporter_.tick();
        UsageCounters figures;
        figures.requests = 1;
        flusher_.add(CustomerId(customerName), figures);
        flusher_.tick();
        if (authority(ordersDuty))
            orderAll();
        ticker_.expires_after(std::chrono::milliseconds(tickEvery.count()));
        ticker_.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                tick();
        });
    }

    void orderAll()
    {
        static const std::vector<std::string> roles = {"mixed", "prefill", "decode"};
        for (const HolderEngine &engine : options_.engines) {
            if (!orders_.isIdle(engine.engine.id))
                continue;
            const std::string &role = roles[random_() % roles.size()];
            orders_.request({engine.engine.id, EngineOrderKind::ChangeRole, role, 0}, nullptr);
        }
    }

    HolderOptions options_;
    RandomHook random_;
    boost::asio::io_context io_{1};
    DeadlineList deadlines_;
    PlatformClient client_;
    ObjectStore store_;
    InstanceIncarnation life_;
    LeaseManager leases_;
    OrderManager orders_;
    UsageReporter reporter_;
    UsageFlusher flusher_;
    boost::asio::steady_timer ticker_;
    boost::asio::signal_set signals_;
};

AuthorityHolder::AuthorityHolder(const HolderOptions &options)
    : impl_(std::make_unique<Impl>(options))
{ }

AuthorityHolder::~AuthorityHolder() = default;

void AuthorityHolder::run()
{
    impl_->run();
}

} // namespace cuminrail::authoritybench
