#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "gateway/peers/LedgerMessage.h"
#include "gateway/usage/UsageRecords.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Takes ledgers that other instances give, and writes them to the store as one object.

    An owner is acknowledged only when the store has its ledger. A write that fails is not made
    again: the owners notice, and turn to a collector that the store may still serve. The object
    keeps the latest windows of each owner, so that it can be written whole each time.
*/
class LedgerCollector
{
public:
    /** What comes within this after the first ledger is written together. */
    static constexpr Millis gathering = Millis(400);
    /** Older windows are never reported. */
    static constexpr std::int64_t keptWindows = 6;

    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        EventSink events;
        std::function<void(const PeerAddress &, const LedgerReceipt &)> acknowledge;
    };

    /** @param name  names the object that this instance writes */
    LedgerCollector(const std::string &name, Hooks hooks);
    LedgerCollector(const LedgerCollector &) = delete;
    LedgerCollector &operator=(const LedgerCollector &) = delete;

    /** A ledger came from the instance with this address. */
    void take(const PeerAddress &from, const LedgerMessage &message);
    /** Writes when it is due; to be called about ten times a second. */
    void tick();

private:
    struct Giver
    {
        PeerAddress address;
        LedgerReceipt receipt;
    };

    void write();
    void written(const std::vector<Giver> &givers, const StoreReply &reply);
    void forgetOldWindows();

    std::string path_;
    Hooks hooks_;
    Ledgers ledgers_;
    /** To be acknowledged after the next write. */
    std::vector<Giver> givers_;
    Millis writeAt_;
};

} // namespace cuminrail
