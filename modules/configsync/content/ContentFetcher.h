#pragma once

#include "configsync/content/ContentStore.h"
#include "configsync/messages/ConfigMessages.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

struct ContentFetcherConfig
{
    /** How long a request to a peer may stay unanswered before another source is tried. */
    Millis timeout{700};
    /** Maximum number of concurrent transfers. */
    std::size_t maxTransfers = 4;
    /** After this many failed attempts with peers the store is tried. */
    std::uint32_t peersBeforeStore = 3;
    /** False: a content that no known peer has is given up. */
    bool usesStore = true;
    /** Maximum pause before the store is called again. */
    Millis maxRetryInterval{10000};
};

struct ContentFetcherHooks
{
    PeerTransport transport;
    ObjectStore store;
    Clock clock;
    RandomHook random;
    /** All wanted contents are available. */
    std::function<void()> onComplete;
};

/**
    Fetches the contents that a head refers to and that are missing here.

    Fetches from peers that reported to have them, in chunks, and requests each chunk after the
    previous one arrived, so that a sender's queue holds at most one chunk for each receiver.
    Fetches from the store if no peer is known to have them, as on the first watcher that receives a
    new head.
*/
class ContentFetcher
{
public:
    ContentFetcher(ContentFetcherConfig config, ContentFetcherHooks hooks, PeerAddress self,
                   ContentStore &contents);
    ~ContentFetcher();
    ContentFetcher(const ContentFetcher &) = delete;
    ContentFetcher &operator=(const ContentFetcher &) = delete;

    /**
        Sets the wanted contents. Those already available are skipped; transfers of others are
        dropped.
    */
    void setWanted(const std::vector<std::string> &hashes);
    /** Adds a peer that has all wanted contents. */
    void addSource(const PeerAddress &peer);
    void clearSources() { sources_.clear(); }
    void tick();
    void handleChunk(const ContentChunkMessage &chunk);

    bool isComplete() const { return wanted_.empty(); }

private:
    /** A content being fetched. */
    struct Transfer
    {
        bool isPending = false;
        bool fromStore = false;
        PeerAddress peer;
        std::string text;
        std::uint64_t call = 0;
        std::uint32_t failures = 0;
        Millis querySentAt;
        Millis nextAt;
    };

    void startTransfers();
    void startTransfer(const std::string &hash, Transfer &transfer);
    void requestFromPeer(const std::string &hash, Transfer &transfer);
    void requestFromStore(const std::string &hash, Transfer &transfer);
    void handleStoreReply(const std::string &hash, std::uint64_t call, const StoreReply &reply);
    void onTransferFailed(Transfer &transfer);
    void onTextReceived(const std::string &hash, std::string text);

    ContentFetcherConfig config_;
    ContentFetcherHooks hooks_;
    PeerAddress self_;
    ContentStore &contents_;
    std::set<PeerAddress> sources_;
    std::map<std::string, Transfer> wanted_;
    std::uint64_t lastCall_ = 0;
    /** False once this object is destroyed, for completions of the store that are still pending. */
    std::shared_ptr<bool> alive_;
};

} // namespace cuminrail
