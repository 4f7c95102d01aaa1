#include "standin/service/StandinService.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace cuminrail::standin {

StandinService::StandinService(boost::asio::io_context &context,
                               const boost::asio::ip::tcp::endpoint &endpoint,
                               const ServiceOptions &options)
    : options_(options),
      server_(context, endpoint,
              [this](const std::shared_ptr<Exchange> &exchange) { handle(exchange); })
{
    server_.recorder().setEnabled(options.keepsRecords);
}

void StandinService::handle(const std::shared_ptr<Exchange> &exchange)
{
    if (options_.workMs == 0) {
        run(exchange);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        server_.context(), std::chrono::milliseconds(options_.workMs));
    timer->async_wait([this, timer, exchange](boost::system::error_code) { run(exchange); });
}

void StandinService::run(const std::shared_ptr<Exchange> &exchange)
{
    ++runs_;
    exchange->markRan();
    const std::string requestId = exchange->header("X-Request-Id");
    exchange->answer(200,
                     {{"run", runs_},
                      {"request_id", requestId},
                      {"customer", exchange->header("X-Customer")},
                      {"path", exchange->path()},
                      {"body_sha256", sha256Hex(exchange->request().body())}},
                     {{"X-Request-Id", requestId}});
}

} // namespace cuminrail::standin
