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
    /** How long one request may go unanswered before another source is asked. */
    Millis timeout{700};
    /** Contents asked for at once. */
    std::size_t concurrent = 4;
    /** After so many peers in vain the store is asked. */
    std::uint32_t peersBeforeStore = 3;
    /** False: without a peer that has it, a content is given up. */
    bool usesStore = true;
    /** The longest pause before a repeated question to the store. */
    Millis longestRetry{10000};
};

struct ContentFetcherHooks
{
    PeerTransport transport;
    ObjectStore store;
    Clock clock;
    RandomHook random;
    /** All that was wanted is there. */
    std::function<void()> onComplete;
};

/**
    Gets the contents that a head names and that are not here yet.

    From peers that said they have them, piece by piece, each piece asked for after the former
    arrived, so that a sender's queue holds one piece for each receiver at most. From the store
    when no peer is known to have them, as at the first watcher that sees a new head.
*/
class ContentFetcher
{
public:
    ContentFetcher(ContentFetcherConfig config, ContentFetcherHooks hooks, PeerAddress self,
                   ContentStore &contents);
    ~ContentFetcher();
    ContentFetcher(const ContentFetcher &) = delete;
    ContentFetcher &operator=(const ContentFetcher &) = delete;

    /** Sets what is wanted; what is there already is passed over. Drops what else was wanted. */
    void want(const std::vector<std::string> &hashes);
    /** Names a peer that has all that is wanted. */
    void addSource(const PeerAddress &peer);
    void clearSources() { sources_.clear(); }
    void tick();
    void take(const ContentChunkMessage &chunk);

    bool isComplete() const { return wanted_.empty(); }

private:
    /** One content on its way. */
    struct Transfer
    {
        bool isAsked = false;
        bool fromStore = false;
        PeerAddress peer;
        std::string text;
        std::uint64_t call = 0;
        std::uint32_t failures = 0;
        Millis querySentAt;
        Millis nextAt;
    };

    void askNext();
    void ask(const std::string &hash, Transfer &transfer);
    void askPeer(const std::string &hash, Transfer &transfer);
    void askStore(const std::string &hash, Transfer &transfer);
    void takeFromStore(const std::string &hash, std::uint64_t call, const StoreReply &reply);
    void failed(Transfer &transfer);
    void arrived(const std::string &hash, std::string text);

    ContentFetcherConfig config_;
    ContentFetcherHooks hooks_;
    PeerAddress self_;
    ContentStore &contents_;
    std::set<PeerAddress> sources_;
    std::map<std::string, Transfer> wanted_;
    std::uint64_t lastCall_ = 0;
    /** Tells a completion of the store that this object is gone. */
    std::shared_ptr<bool> alive_;
};

} // namespace cuminrail
