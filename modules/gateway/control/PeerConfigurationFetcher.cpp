#include "gateway/control/PeerConfigurationFetcher.h"

namespace cuminrail {

namespace {

constexpr Millis queryTimeout = Millis(500);
/** Size of the largest configuration that the store can hold. */
constexpr std::size_t maxConfigurationBytes = 1U << 20U;

} // namespace

PeerConfigurationFetcher::PeerConfigurationFetcher(RelayContext &context,
                                                   const InstanceRegistry &registry,
                                                   RandomHook random,
                                                   std::function<void(const std::string &)> onNewer)
    : context_(context), registry_(registry), random_(std::move(random)),
      onNewer_(std::move(onNewer))
{ }

void PeerConfigurationFetcher::tick(bool isStoreSilent)
{
    const Millis now = context_.now();
    if (!isStoreSilent || now < nextQueryAt_ || context_.index == nullptr)
        return;
    nextQueryAt_ = now + queryInterval;
    const auto &instances = registry_.instances();
    if (instances.size() < 2)
        return;
    // The first entry is this instance.
    const auto &peer = instances[1 + random_() % (instances.size() - 1)];
    if (!peer.address.empty())
        query(peer.address);
}

void PeerConfigurationFetcher::query(const std::string &address)
{
    UpstreamRequest request;
    request.address = address;
    request.wire = "GET /peer/configuration?after=" + std::to_string(context_.index->version())
        + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
    request.isEchoRequired = false;
    request.timeouts = {queryTimeout, queryTimeout, queryTimeout, queryTimeout * 2};
    request.maxBodyBytes = maxConfigurationBytes;
    const auto text = std::make_shared<std::string>();
    const auto status = std::make_shared<int>(0);
    UpstreamHooks hooks;
    hooks.onHead = [status](const HttpHead &head) { *status = head.status; };
    hooks.onBody = [text](std::string_view data) { text->append(data); };
    hooks.onEnd = [this, text, status](const UpstreamEnd &end) {
        if (end.kind == UpstreamEndKind::Complete && *status == 200)
            onNewer_(*text);
    };
    context_.pool.start(std::move(request), std::move(hooks));
}

} // namespace cuminrail
