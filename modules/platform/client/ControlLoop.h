#pragma once

#include "platform/client/PlatformClient.h"
#include "runtime/threads/IoThread.h"

#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>

namespace cuminrail {

/**
    An event loop with a client on it, for programs and tests that wait for each call.

    @code
    const auto reply = loop.await<StoreReply>([&](auto done) { store.get(path, done); });
    @endcode
*/
class ControlLoop
{
public:
    explicit ControlLoop(const std::string &instance, Millis patience = Millis(300))
    {
        PlatformClientOptions options;
        options.instance = instance;
        options.answerTimeout = patience;
        client_ = std::make_unique<PlatformClient>(thread_.io(), thread_.deadlines(), options);
        thread_.start();
    }
    ~ControlLoop()
    {
        thread_.run([this] { client_.reset(); });
        thread_.stop();
        thread_.join();
        // Lets the aborted reads and writes go, which still hold connections and their deadlines.
        thread_.runLeftovers();
    }
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    PlatformClient &client() { return *client_; }

    /** Runs something on the loop and waits until it has run. */
    void post(const std::function<void()> &action) { thread_.run(action); }

    /** Begins a call on the loop and waits for what its completion gets. */
    template<typename Reply>
    Reply await(const std::function<void(std::function<void(const Reply &)>)> &begin)
    {
        std::promise<Reply> promise;
        auto future = promise.get_future();
        thread_.run([&] {
            const auto isInside = std::make_shared<bool>(true);
            begin([&promise, isInside](const Reply &reply) {
                if (*isInside)
                    throw std::logic_error("completed from inside the call");
                promise.set_value(reply);
            });
            *isInside = false;
        });
        return future.get();
    }

private:
    IoThread thread_;
    std::unique_ptr<PlatformClient> client_;
};

} // namespace cuminrail
