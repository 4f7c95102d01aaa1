#include "configsync/content/ContentFetcher.h"

#include "configsync/messages/ConfigCodec.h"
#include "settings/head/SettingsHead.h"

#include <algorithm>
#include <iterator>

namespace cuminrail {

namespace {

constexpr Millis kFirstRetry{250};
constexpr Millis kStoreTimeout{5000};

} // namespace

ContentFetcher::ContentFetcher(ContentFetcherConfig config, ContentFetcherHooks hooks,
                               PeerAddress self, ContentStore &contents)
    : config_(config), hooks_(std::move(hooks)), self_(std::move(self)), contents_(contents),
      alive_(std::make_shared<bool>(true))
{ }

ContentFetcher::~ContentFetcher()
{
    *alive_ = false;
}

void ContentFetcher::setWanted(const std::vector<std::string> &hashes)
{
    std::map<std::string, Transfer> wanted;
    for (const std::string &hash : hashes) {
        if (contents_.find(hash) == nullptr)
            wanted[hash] = wanted_[hash];
    }
    wanted_ = std::move(wanted);
    startTransfers();
}

void ContentFetcher::addSource(const PeerAddress &peer)
{
    if (peer != self_)
        sources_.insert(peer);
}

void ContentFetcher::tick()
{
    const Millis now = hooks_.clock.now();
    for (auto &entry : wanted_) {
        Transfer &transfer = entry.second;
        const Millis timeout = transfer.fromStore ? kStoreTimeout : config_.timeout;
        if (transfer.isPending && now >= transfer.querySentAt + timeout)
            onTransferFailed(transfer);
    }
    startTransfers();
}

void ContentFetcher::startTransfers()
{
    const Millis now = hooks_.clock.now();
    if (!config_.usesStore && sources_.empty())
        wanted_.clear();
    auto pending = static_cast<std::size_t>(std::count_if(
        wanted_.begin(), wanted_.end(), [](const auto &entry) { return entry.second.isPending; }));
    for (auto &entry : wanted_) {
        if (pending >= config_.maxTransfers)
            return;
        if (entry.second.isPending || now < entry.second.nextAt)
            continue;
        startTransfer(entry.first, entry.second);
        ++pending;
    }
}

void ContentFetcher::startTransfer(const std::string &hash, Transfer &transfer)
{
    transfer.isPending = true;
    transfer.querySentAt = hooks_.clock.now();
    transfer.text.clear();
    // The store is tried occasionally even if peers are left, since all of them may have stopped.
    const bool isStoreDue =
        transfer.failures % (config_.peersBeforeStore + 1) == config_.peersBeforeStore;
    transfer.fromStore = config_.usesStore && (sources_.empty() || isStoreDue);
    if (transfer.fromStore) {
        requestFromStore(hash, transfer);
        return;
    }
    const std::size_t pick = hooks_.random() % sources_.size();
    transfer.peer = *std::next(sources_.begin(), static_cast<std::ptrdiff_t>(pick));
    requestFromPeer(hash, transfer);
}

void ContentFetcher::requestFromPeer(const std::string &hash, Transfer &transfer)
{
    transfer.querySentAt = hooks_.clock.now();
    hooks_.transport.send(transfer.peer,
                          encodeConfig(ContentRequestMessage{self_, hash, transfer.text.size()}));
}

void ContentFetcher::requestFromStore(const std::string &hash, Transfer &transfer)
{
    transfer.call = ++lastCall_;
    hooks_.store.get(settingsContentPath(hash),
                     [this, hash, call = transfer.call, alive = alive_](const StoreReply &reply) {
                         if (*alive)
                             handleStoreReply(hash, call, reply);
                     });
}

void ContentFetcher::handleStoreReply(const std::string &hash, std::uint64_t call,
                                      const StoreReply &reply)
{
    const auto found = wanted_.find(hash);
    if (found == wanted_.end())
        return;
    // A late reply is accepted too: its hash shows whether the text is the right one.
    if (reply.status == StoreStatus::Ok && !reply.objects.empty())
        onTextReceived(hash, reply.objects.front().value);
    else if (found->second.call == call && found->second.isPending)
        onTransferFailed(found->second);
}

void ContentFetcher::handleChunk(const ContentChunkMessage &chunk)
{
    const auto found = wanted_.find(chunk.sha256);
    if (found == wanted_.end() || !found->second.isPending || found->second.fromStore)
        return;
    Transfer &transfer = found->second;
    if (chunk.total == 0) {
        sources_.erase(transfer.peer);
        onTransferFailed(transfer);
        startTransfers();
        return;
    }
    const bool isNext = chunk.offset == transfer.text.size() && !chunk.bytes.empty()
        && chunk.offset + chunk.bytes.size() <= chunk.total;
    if (!isNext)
        return;
    transfer.text += chunk.bytes;
    if (transfer.text.size() < chunk.total)
        requestFromPeer(chunk.sha256, transfer);
    else
        onTextReceived(chunk.sha256, std::move(transfer.text));
}

void ContentFetcher::onTransferFailed(Transfer &transfer)
{
    transfer.isPending = false;
    transfer.text.clear();
    ++transfer.failures;
    const std::int64_t backoff = kFirstRetry.count()
        << std::min<std::uint32_t>(transfer.failures, 8);
    const std::int64_t pause = std::min(backoff, config_.maxRetryInterval.count());
    const bool hasOtherPeer = !sources_.empty() && !transfer.fromStore;
    const auto jitter = static_cast<std::int64_t>(hooks_.random() % std::uint64_t(pause));
    transfer.nextAt = hooks_.clock.now() + Millis(hasOtherPeer ? 0 : pause / 2 + jitter / 2);
}

void ContentFetcher::onTextReceived(const std::string &hash, std::string text)
{
    if (!contents_.add(hash, std::move(text))) {
        sources_.erase(wanted_[hash].peer);
        onTransferFailed(wanted_[hash]);
        return;
    }
    wanted_.erase(hash);
    if (wanted_.empty())
        hooks_.onComplete();
    else
        startTransfers();
}

} // namespace cuminrail
