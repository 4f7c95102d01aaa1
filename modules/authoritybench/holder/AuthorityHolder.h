#pragma once

#include "core/ids/Ids.h"
#include "orders/controller/EngineOrderController.h"

#include <memory>
#include <string>
#include <vector>

namespace cuminrail::authoritybench {

/** An engine that a holder gives orders to. */
struct HolderEngine
{
    OrderedEngine engine;
    std::string address;
};

struct HolderOptions
{
    InstanceId instance;
    std::string platform;
    /** All that may hold the duties, this one among them. */
    std::vector<InstanceId> members;
    std::vector<HolderEngine> engines;
    std::uint64_t seed = 1;
};

/**
    Competes for two duties and, while it holds them, orders role changes without a pause and seals
    and reports usage windows of a second. All spans are short, so that a trial takes seconds.
*/
class AuthorityHolder
{
public:
    explicit AuthorityHolder(const HolderOptions &options);
    ~AuthorityHolder();
    AuthorityHolder(const AuthorityHolder &) = delete;
    AuthorityHolder &operator=(const AuthorityHolder &) = delete;

    /** Runs on the calling thread until SIGTERM. */
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cuminrail::authoritybench
