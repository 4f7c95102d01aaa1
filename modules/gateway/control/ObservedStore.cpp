#include "gateway/control/ObservedStore.h"

#include <utility>

namespace cuminrail {

ObjectStore observed(const ObjectStore &store, const std::function<void()> &onTrouble)
{
    const auto watching = [onTrouble](StoreCompletion done) {
        return [onTrouble, done = std::move(done)](const StoreReply &reply) {
            if (reply.status == StoreStatus::Unavailable || reply.status == StoreStatus::Unknown)
                onTrouble();
            done(reply);
        };
    };
    ObjectStore seen = store;
    seen.get = [store, watching](const std::string &path, StoreCompletion done) {
        store.get(path, watching(std::move(done)));
    };
    seen.list = [store, watching](const std::string &prefix, StoreCompletion done) {
        store.list(prefix, watching(std::move(done)));
    };
    seen.put = [store, watching](const StorePut &put, StoreCompletion done) {
        store.put(put, watching(std::move(done)));
    };
    return seen;
}

} // namespace cuminrail
