#pragma once

#include "carriage/carriage.h"
#include "net/server/HttpExchange.h"

#include <memory>
#include <optional>
#include <string>

namespace cuminrail {

/** A request that this instance carries for another one; responses go back over their link. */
class CarriedExchange final : public HttpExchange
{
public:
    explicit CarriedExchange(std::shared_ptr<IncomingCall> call);

    const HttpHead &head() const override { return head_; }
    std::string &body() override { return call_->body(); }
    void respond(const HttpResponse &response) override;
    void beginStream(int status, const std::vector<HttpHeader> &headers) override;
    void write(std::string_view data) override { call_->write(data); }
    void finish() override { end(CarriedResult::Complete, {}); }
    void abort() override { end(CarriedResult::Truncated, "the stream broke off"); }
    void finishTruncated(std::string_view finalData) override;
    bool isCongested() const override { return call_->isCongested(); }
    void onWritable(std::function<void()> hook) override { call_->onWritable(std::move(hook)); }
    void onCallerDisconnected(std::function<void()> hook) override
    {
        call_->onAbandoned(std::move(hook));
    }

    const CarriedOpen &request() const { return call_->request(); }
    /** Sets the number of attempts in which an upstream may have run the request. */
    void setSends(int sends) { sends_ = static_cast<std::uint32_t>(sends); }
    /** This instance cannot run the request; another one may. */
    void decline(const std::string &why) { end(CarriedResult::Declined, why); }
    /** No upstream has run the request. */
    void refuse(std::optional<Millis> retryAfter, const std::string &why);
    /** There is no response, and an upstream may have run the request. */
    void fail(bool isOverdue, const std::string &why)
    {
        end(isOverdue ? CarriedResult::Overdue : CarriedResult::MayHaveRun, why);
    }

private:
    void end(CarriedResult result, const std::string &why,
             std::optional<Millis> retryAfter = std::nullopt);

    std::shared_ptr<IncomingCall> call_;
    HttpHead head_;
    std::uint32_t sends_ = 0;
};

/** Returns header lines in the form in which they are handed over. */
std::vector<CarriedField> carriedFields(const std::vector<HttpHeader> &headers);
/** Returns handed-over header lines as headers. */
std::vector<HttpHeader> headersOf(const std::vector<CarriedField> &fields);

} // namespace cuminrail
