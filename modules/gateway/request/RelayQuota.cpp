#include "gateway/request/RequestRelay.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Another instance, or this one a moment later, reaches a keeper. */
constexpr Millis unknownComeBack = Millis(250);
/** Returns are spread over this. */
constexpr Millis quotaSpread = Millis(300);

} // namespace

double RequestRelay::quotaCost(const CustomerQuota &quota) const
{
    if (quota.unit == QuotaUnit::Requests)
        return 1;
    if (!inbound_.prompt)
        return quota.plainTokens;
    return double(inbound_.prompt->inputTokens) + double(inbound_.prompt->outputTokensMost);
}

void RequestRelay::askQuota()
{
    const CustomerQuota *quota = customer_.empty() ? nullptr : context_.quotas->quota(customer_);
    if (quota == nullptr)
        return dispatch();
    const double cost = quotaCost(*quota);
    context_.quotas->ask(customer_, cost,
                         [self = shared_from_this(), cost](const QuotaVerdict &verdict) {
                             self->quotaAnswered(verdict, cost);
                         });
}

void RequestRelay::quotaAnswered(const QuotaVerdict &verdict, double cost)
{
    quotaGrant_ = verdict.grant;
    // Its time was over, or its caller left, before the keeper answered.
    if (isOver_)
        return context_.quotas->giveBack(quotaGrant_);
    if (verdict.result == QuotaResult::Granted)
        return dispatch();
    const auto spread = static_cast<std::int64_t>(std::hash<std::string>()(inbound_.id)
                                                  % std::uint64_t(quotaSpread.count()));
    if (verdict.result == QuotaResult::Unknown)
        return refuse(503, GiveUpCause::QuotaUnknown, unknownComeBack + Millis(spread),
                      "nobody can tell how much its customer has used");
    std::optional<Millis> comeBack = verdict.comeBackAfter;
    if (comeBack)
        *comeBack += Millis(spread);
    const auto number = [](double value) {
        return std::to_string(static_cast<std::int64_t>(value));
    };
    const CustomerQuota *quota = context_.quotas->quota(customer_);
    refuse(429, GiveUpCause::OverQuota, comeBack,
           "its customer is over its quota: " + number(cost) + " asked, " + number(verdict.level)
               + " left, " + number(quota == nullptr ? 0 : quota->perSecond) + " a second");
}

} // namespace cuminrail
