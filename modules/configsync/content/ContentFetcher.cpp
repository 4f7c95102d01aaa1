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

void ContentFetcher::want(const std::vector<std::string> &hashes)
{
    std::map<std::string, Transfer> wanted;
    for (const std::string &hash : hashes) {
        if (contents_.find(hash) == nullptr)
            wanted[hash] = wanted_[hash];
    }
    wanted_ = std::move(wanted);
    askNext();
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
        if (transfer.isAsked && now >= transfer.querySentAt + timeout)
            failed(transfer);
    }
    askNext();
}

void ContentFetcher::askNext()
{
    const Millis now = hooks_.clock.now();
    if (!config_.usesStore && sources_.empty())
        wanted_.clear();
    auto asked = static_cast<std::size_t>(std::count_if(
        wanted_.begin(), wanted_.end(), [](const auto &entry) { return entry.second.isAsked; }));
    for (auto &entry : wanted_) {
        if (asked >= config_.concurrent)
            return;
        if (entry.second.isAsked || now < entry.second.nextAt)
            continue;
        ask(entry.first, entry.second);
        ++asked;
    }
}

void ContentFetcher::ask(const std::string &hash, Transfer &transfer)
{
    transfer.isAsked = true;
    transfer.querySentAt = hooks_.clock.now();
    transfer.text.clear();
    // Every so often the store is asked even with sources left: they may all be gone.
    const bool isStoresTurn =
        transfer.failures % (config_.peersBeforeStore + 1) == config_.peersBeforeStore;
    transfer.fromStore = config_.usesStore && (sources_.empty() || isStoresTurn);
    if (transfer.fromStore) {
        askStore(hash, transfer);
        return;
    }
    const std::size_t pick = hooks_.random() % sources_.size();
    transfer.peer = *std::next(sources_.begin(), static_cast<std::ptrdiff_t>(pick));
    askPeer(hash, transfer);
}

void ContentFetcher::askPeer(const std::string &hash, Transfer &transfer)
{
    transfer.querySentAt = hooks_.clock.now();
    hooks_.transport.send(transfer.peer,
                          encodeConfig(ContentRequestMessage{self_, hash, transfer.text.size()}));
}

void ContentFetcher::askStore(const std::string &hash, Transfer &transfer)
{
    transfer.call = ++lastCall_;
    hooks_.store.get(settingsContentPath(hash),
                     [this, hash, call = transfer.call, alive = alive_](const StoreReply &reply) {
                         if (*alive)
                             takeFromStore(hash, call, reply);
                     });
}

void ContentFetcher::takeFromStore(const std::string &hash, std::uint64_t call,
                                   const StoreReply &reply)
{
    const auto found = wanted_.find(hash);
    if (found == wanted_.end())
        return;
    // A text that comes late is taken too: its hash says whether it is the right one.
    if (reply.status == StoreStatus::Ok && !reply.objects.empty())
        arrived(hash, reply.objects.front().value);
    else if (found->second.call == call && found->second.isAsked)
        failed(found->second);
}

void ContentFetcher::take(const ContentChunkMessage &chunk)
{
    const auto found = wanted_.find(chunk.sha256);
    if (found == wanted_.end() || !found->second.isAsked || found->second.fromStore)
        return;
    Transfer &transfer = found->second;
    if (chunk.total == 0) {
        sources_.erase(transfer.peer);
        failed(transfer);
        askNext();
        return;
    }
    const bool isNext = chunk.offset == transfer.text.size() && !chunk.bytes.empty()
        && chunk.offset + chunk.bytes.size() <= chunk.total;
    if (!isNext)
        return;
    transfer.text += chunk.bytes;
    if (transfer.text.size() < chunk.total)
        askPeer(chunk.sha256, transfer);
    else
        arrived(chunk.sha256, std::move(transfer.text));
}

void ContentFetcher::failed(Transfer &transfer)
{
    transfer.isAsked = false;
    transfer.text.clear();
    ++transfer.failures;
    const std::int64_t doubled = kFirstRetry.count()
        << std::min<std::uint32_t>(transfer.failures, 8);
    const std::int64_t pause = std::min(doubled, config_.longestRetry.count());
    const bool hasOtherPeer = !sources_.empty() && !transfer.fromStore;
    const auto spread = static_cast<std::int64_t>(hooks_.random() % std::uint64_t(pause));
    transfer.nextAt = hooks_.clock.now() + Millis(hasOtherPeer ? 0 : pause / 2 + spread / 2);
}

void ContentFetcher::arrived(const std::string &hash, std::string text)
{
    if (!contents_.add(hash, std::move(text))) {
        sources_.erase(wanted_[hash].peer);
        failed(wanted_[hash]);
        return;
    }
    wanted_.erase(hash);
    if (wanted_.empty())
        hooks_.onComplete();
    else
        askNext();
}

} // namespace cuminrail
