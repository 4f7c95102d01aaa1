#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** After this, another instance or this one may reach an owner of the quota again. */
constexpr Millis unknownQuotaRetryAfter = Millis(250);
/** Callers' retries are spread over this time. */
constexpr Millis quotaRetryJitter = Millis(300);

} // namespace

double RequestRelay::quotaCost(const CustomerQuota &quota) const
{
    if (quota.unit == QuotaUnit::Requests)
        return 1;
    if (!inbound_.prompt)
        return quota.plainTokens;
    return double(inbound_.prompt->inputTokens) + double(inbound_.prompt->outputTokensMost);
}

void RequestRelay::requestQuota()
{
    const CustomerQuota *quota = customer_.empty() ? nullptr : context_.quotas->quota(customer_);
    if (quota == nullptr)
        return dispatch();
    const double cost = quotaCost(*quota);
    const auto goOn =
        awaitStep(RequestStep::CustomerQuota,
                  [this, cost](const QuotaOutcome &outcome) { onQuotaOutcome(outcome, cost); });
    context_.quotas->acquire(customer_, cost,
                             [self = shared_from_this(), goOn](const QuotaOutcome &outcome) {
                                 // The deadline passed or the caller left before the quota's owner
                                 // replied.
                                 if (self->hasEnded_ && !self->quotaGrant_.isSet()) {
                                     QuotaGrant unused = outcome.grant;
                                     return self->context_.quotas->release(unused);
                                 }
                                 goOn(outcome);
                             });
}

void RequestRelay::onQuotaOutcome(const QuotaOutcome &outcome, double cost)
{
    quotaGrant_ = outcome.grant;
    if (outcome.result == QuotaResult::Granted)
        return dispatch();
    const auto jitter = static_cast<std::int64_t>(std::hash<std::string>()(inbound_.id)
                                                  % std::uint64_t(quotaRetryJitter.count()));
    if (outcome.result == QuotaResult::Unknown)
        return refuse(503, GiveUpCause::QuotaUnknown, unknownQuotaRetryAfter + Millis(jitter),
                      "nobody can tell how much its customer has used");
    std::optional<Millis> retryAfter = outcome.retryAfter;
    if (retryAfter)
        *retryAfter += Millis(jitter);
    const auto number = [](double value) {
        return std::to_string(static_cast<std::int64_t>(value));
    };
    const CustomerQuota *quota = context_.quotas->quota(customer_);
    refuse(429, GiveUpCause::OverQuota, retryAfter,
           "its customer is over its quota: " + number(cost) + " asked, " + number(outcome.level)
               + " left, " + number(quota == nullptr ? 0 : quota->perSecond) + " a second");
}

} // namespace cuminrail
