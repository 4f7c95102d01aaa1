#include "usage/counters/UsageWindows.h"

#include <array>
#include <cstdio>

namespace cuminrail {

namespace {

struct Date
{
    std::int64_t year;
    std::int64_t month;
    std::int64_t day;
};

constexpr std::int64_t secondsPerDay = 86400;

/** Converts days since 1970 to a Gregorian date, by eras of 400 years that begin on 1 March. */
Date dateOf(std::int64_t days)
{
    const std::int64_t shifted = days + 719468;
    const std::int64_t era = shifted / 146097;
    const std::int64_t dayOfEra = shifted - era * 146097;
    const std::int64_t yearOfEra =
        (dayOfEra - dayOfEra / 1460 + dayOfEra / 36524 - dayOfEra / 146096) / 365;
    const std::int64_t dayOfYear = dayOfEra - (365 * yearOfEra + yearOfEra / 4 - yearOfEra / 100);
    const std::int64_t shiftedMonth = (5 * dayOfYear + 2) / 153;
    const std::int64_t day = dayOfYear - (153 * shiftedMonth + 2) / 5 + 1;
    const std::int64_t month = shiftedMonth < 10 ? shiftedMonth + 3 : shiftedMonth - 9;
    return {yearOfEra + era * 400 + (month <= 2 ? 1 : 0), month, day};
}

} // namespace

std::string UsageWindows::nameOf(WindowIndex index) const
{
    const std::int64_t seconds = beginOf(index).count() / 1000;
    const Date date = dateOf(seconds / secondsPerDay);
    const std::int64_t rest = seconds % secondsPerDay;
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04lld-%02lld-%02lldT%02lld:%02lld:%02lld",
                  static_cast<long long>(date.year), static_cast<long long>(date.month),
                  static_cast<long long>(date.day), static_cast<long long>(rest / 3600),
                  static_cast<long long>(rest / 60 % 60), static_cast<long long>(rest % 60));
    return text.data();
}

std::string UsageWindows::keyOf(WindowIndex index)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%012lld", static_cast<long long>(index));
    return text.data();
}

} // namespace cuminrail
