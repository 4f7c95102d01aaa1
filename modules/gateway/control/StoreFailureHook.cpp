#include "gateway/control/StoreFailureHook.h"

#include <utility>

namespace cuminrail {

ObjectStore withFailureHook(const ObjectStore &store, const std::function<void()> &onFailure)
{
    const auto reporting = [onFailure](StoreCompletion done) {
        return [onFailure, done = std::move(done)](const StoreReply &reply) {
            if (reply.status == StoreStatus::Unavailable || reply.status == StoreStatus::Unknown)
                onFailure();
            done(reply);
        };
    };
    ObjectStore hooked = store;
    hooked.get = [store, reporting](const std::string &path, StoreCompletion done) {
        store.get(path, reporting(std::move(done)));
    };
    hooked.list = [store, reporting](const std::string &prefix, StoreCompletion done) {
        store.list(prefix, reporting(std::move(done)));
    };
    hooked.put = [store, reporting](const StorePut &put, StoreCompletion done) {
        store.put(put, reporting(std::move(done)));
    };
    return hooked;
}

} // namespace cuminrail
