#include "gateway/carriage/CarriedExchange.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Reasons are for logs; longer ones are cut. */
constexpr std::size_t maxReasonBytes = 512;

} // namespace

CarriedExchange::CarriedExchange(std::shared_ptr<IncomingCall> call) : call_(std::move(call))
{
    const CarriedOpen &request = call_->request();
    head_.method = request.method;
    head_.target = request.target;
    head_.headers = headersOf(request.fields);
}

void CarriedExchange::respond(const HttpResponse &response)
{
    call_->sendHead(response.status, carriedFields(response.headers), false);
    call_->write(response.body);
    end(CarriedResult::Complete, {});
}

void CarriedExchange::beginStream(int status, const std::vector<HttpHeader> &headers)
{
    call_->sendHead(status, carriedFields(headers), true);
}

void CarriedExchange::finishTruncated(std::string_view finalData)
{
    call_->write(finalData);
    end(CarriedResult::Truncated, "the stream broke off");
}

void CarriedExchange::refuse(std::optional<Millis> retryAfter, const std::string &why)
{
    end(CarriedResult::NotRun, why, retryAfter);
}

void CarriedExchange::end(CarriedResult result, const std::string &why,
                          std::optional<Millis> retryAfter)
{
    CarriedEnd end;
    end.result = result;
    end.sends = sends_;
    end.retryAfter = retryAfter;
    end.reason = why.substr(0, maxReasonBytes);
    call_->finish(std::move(end));
}

std::vector<CarriedField> carriedFields(const std::vector<HttpHeader> &headers)
{
    std::vector<CarriedField> fields;
    fields.reserve(headers.size());
    for (const HttpHeader &header : headers)
        fields.push_back({header.name, header.value});
    return fields;
}

std::vector<HttpHeader> headersOf(const std::vector<CarriedField> &fields)
{
    std::vector<HttpHeader> headers;
    headers.reserve(fields.size());
    for (const CarriedField &field : fields)
        headers.push_back({field.name, field.value});
    return headers;
}

} // namespace cuminrail
