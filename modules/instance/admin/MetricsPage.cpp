#include "instance/admin/MetricsPage.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <functional>

namespace cuminrail {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

using Counters = std::vector<const RequestCounters *>;
using CountSelector = std::function<const RequestCounters::Count &(const RequestCounters &)>;

constexpr double millisPerSecond = 1000;

std::uint64_t sum(const Counters &counters, const CountSelector &selectCount)
{
    std::uint64_t total = 0;
    for (const RequestCounters *each : counters)
        total += selectCount(*each).load(std::memory_order_relaxed);
    return total;
}

MetricFamily makeFamily(const std::string &name, const std::string &help, MetricType type)
{
    MetricFamily result;
    result.name = name;
    result.help = help;
    result.type = type;
    return result;
}

MetricFamily makeCounter(const std::string &name, const std::string &help, std::uint64_t value)
{
    MetricFamily result = makeFamily(name, help, MetricType::Counter);
    ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    result.metric.push_back(metric);
    return result;
}

MetricFamily makeErrorFamily(const Counters &counters)
{
    MetricFamily result =
        makeFamily("cuminrail_request_errors_total", "Requests that ended in an error, by code.",
                   MetricType::Counter);
    for (std::size_t code = 0; code < RequestCounters::errorCodes; ++code) {
        ClientMetric metric;
        metric.label.push_back({"code", std::string(errorCodeName(static_cast<ErrorCode>(code)))});
        metric.counter.value = static_cast<double>(
            sum(counters, [code](const RequestCounters &each) -> const RequestCounters::Count & {
                return each.errors[code];
            }));
        result.metric.push_back(metric);
    }
    return result;
}

MetricFamily makeFirstByteFamily(const Counters &counters)
{
    MetricFamily result = makeFamily("cuminrail_first_byte_seconds",
                                     "Time from a request's end to the first byte of its answer.",
                                     MetricType::Histogram);
    ClientMetric metric;
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket <= RequestCounters::bucketBounds.size(); ++bucket) {
        cumulative +=
            sum(counters, [bucket](const RequestCounters &each) -> const RequestCounters::Count & {
                return each.firstByte[bucket];
            });
        ClientMetric::Bucket entry;
        entry.cumulative_count = cumulative;
        entry.upper_bound = bucket < RequestCounters::bucketBounds.size()
            ? static_cast<double>(RequestCounters::bucketBounds[bucket]) / millisPerSecond
            : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back(entry);
    }
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum =
        static_cast<double>(sum(counters,
                                [](const RequestCounters &each) -> const RequestCounters::Count & {
                                    return each.firstByteSumMs;
                                }))
        / millisPerSecond;
    result.metric.push_back(metric);
    return result;
}

struct CounterRow
{
    const char *name;
    const char *help;
    RequestCounters::Count RequestCounters::*count;
};

constexpr std::array<CounterRow, 9> counterRows{{
    {"cuminrail_requests_total", "Requests read whole.", &RequestCounters::requests},
    {"cuminrail_requests_answered_total", "Requests answered whole.", &RequestCounters::answered},
    {"cuminrail_callers_left_total", "Callers that left before their answer's end.",
     &RequestCounters::callersLeft},
    {"cuminrail_attempts_total", "Attempts at upstreams.", &RequestCounters::attempts},
    {"cuminrail_retries_total", "Attempts after a request's first.", &RequestCounters::retries},
    {"cuminrail_stream_resumes_total", "Broken streams continued.", &RequestCounters::resumes},
    {"cuminrail_truncated_total", "Answers cut after their first byte, and shown so.",
     &RequestCounters::truncated},
    {"cuminrail_prompt_tokens_total", "Prompt tokens of requests that ran.",
     &RequestCounters::promptTokens},
    {"cuminrail_output_tokens_total", "Output tokens of requests that ran.",
     &RequestCounters::outputTokens},
}};

} // namespace

std::string metricsPage(const std::vector<const RequestCounters *> &counters,
                        const InstanceConfig &config)
{
    std::vector<MetricFamily> families;
    for (const CounterRow &row : counterRows) {
        const auto member = row.count;
        families.push_back(makeCounter(
            row.name, row.help,
            sum(counters, [member](const RequestCounters &each) -> const RequestCounters::Count & {
                return each.*member;
            })));
    }
    MetricFamily inProgress =
        makeFamily("cuminrail_requests_in_progress", "Requests in progress.", MetricType::Gauge);
    ClientMetric gauge;
    gauge.gauge.value = static_cast<double>(
        sum(counters, [](const RequestCounters &each) -> const RequestCounters::Count & {
            return each.inProgress;
        }));
    inProgress.metric.push_back(gauge);
    families.push_back(inProgress);
    families.push_back(makeErrorFamily(counters));
    families.push_back(makeFirstByteFamily(counters));
    MetricFamily info = makeFamily("cuminrail_instance_info", "This instance.", MetricType::Gauge);
    ClientMetric infoMetric;
    infoMetric.label = {{"instance", config.instanceId.text()},
                        {"failure_domain", config.failureDomain.text()},
                        {"region", config.region.text()}};
    infoMetric.gauge.value = 1;
    info.metric.push_back(infoMetric);
    families.push_back(info);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace cuminrail
