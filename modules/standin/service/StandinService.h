#pragma once

#include "standin/server/StandinServer.h"

#include <cstdint>

namespace cuminrail::standin {

struct ServiceOptions
{
    /** How long a call takes. */
    std::uint32_t workMs = 0;
    bool keepsRecords = true;
};

/**
    A plain service: every call that arrives whole is a run, also a repeated one.

    It does not deduplicate by Idempotency-Key, so that its records show every run that reached it.
*/
class StandinService
{
public:
    StandinService(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
                   const ServiceOptions &options);

    StandinServer &server() { return server_; }

private:
    void handle(const std::shared_ptr<Exchange> &exchange);
    void run(const std::shared_ptr<Exchange> &exchange);

    ServiceOptions options_;
    std::uint64_t runs_ = 0;
    StandinServer server_;
};

} // namespace cuminrail::standin
