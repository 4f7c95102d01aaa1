#include "emulation/report/LoadReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace cuminrail::emulation {

namespace {

double valueOf(const LoadKind &kind, LoadEnding ending)
{
    if (ending == LoadEnding::OnTime)
        return kind.worth;
    return ending == LoadEnding::Late ? kind.lateWorth : 0;
}

/** Sums of the value of all requests and of the value earned. */
struct ValueTotals
{
    double possible = 0;
    double earned = 0;

    void add(const LoadKind &kind, LoadEnding ending)
    {
        possible += kind.worth;
        earned += valueOf(kind, ending);
    }
    double share() const { return possible > 0 ? earned / possible : 1; }
};

double quantile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(share * double(values.size() - 1));
    return values[rank];
}

KindFigures figuresOf(const LoadPlan &plan, std::size_t index,
                      const std::vector<LoadRequest> &requests,
                      const std::vector<LoadRecord> &records)
{
    KindFigures figures;
    figures.name = plan.kinds[index].name;
    ValueTotals totals;
    std::vector<double> firsts;
    std::vector<double> pauses;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (requests[i].kind != index)
            continue;
        const LoadRecord &record = records[i];
        ++figures.asked;
        totals.add(plan.kinds[index], record.ending);
        figures.onTime += record.ending == LoadEnding::OnTime ? 1 : 0;
        figures.late += record.ending == LoadEnding::Late ? 1 : 0;
        figures.refused += record.ending == LoadEnding::Refused ? 1 : 0;
        figures.failed += record.ending == LoadEnding::Failed ? 1 : 0;
        if (record.firstAt > 0) {
            firsts.push_back(record.firstAt - requests[i].atMs);
            pauses.push_back(record.longestPauseMs);
        }
    }
    figures.firstMedianMs = quantile(firsts, 0.5);
    figures.firstP90Ms = quantile(firsts, 0.9);
    figures.pauseP90Ms = quantile(pauses, 0.9);
    figures.earned = totals.share();
    return figures;
}

double meanOfWorstWindows(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                          const std::vector<LoadRecord> &records)
{
    std::map<int, ValueTotals> windows;
    for (std::size_t i = 0; i < requests.size(); ++i)
        windows[static_cast<int>(requests[i].atMs / reportWindowMs)].add(
            plan.kinds[requests[i].kind], records[i].ending);
    std::vector<double> shares;
    shares.reserve(windows.size());
    for (const auto &[number, window] : windows)
        shares.push_back(window.share());
    std::sort(shares.begin(), shares.end());
    if (shares.size() < 2)
        return shares.empty() ? 1 : shares.front();
    return (shares[0] + shares[1]) / 2;
}

} // namespace

LoadReport makeLoadReport(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                          const std::vector<LoadRecord> &records, const EngineTotals &engines)
{
    LoadReport report;
    report.engines = engines;
    ValueTotals totals;
    report.worstKind = 1;
    for (std::size_t kind = 0; kind < plan.kinds.size(); ++kind) {
        report.kinds.push_back(figuresOf(plan, kind, requests, records));
        report.worstKind = std::min(report.worstKind, report.kinds.back().earned);
    }
    for (std::size_t i = 0; i < requests.size(); ++i)
        totals.add(plan.kinds[requests[i].kind], records[i].ending);
    report.earned = totals.share();
    report.worstWindows = meanOfWorstWindows(plan, requests, records);
    return report;
}

nlohmann::json toJson(const LoadReport &report)
{
    nlohmann::json kinds = nlohmann::json::array();
    for (const KindFigures &kind : report.kinds)
        kinds.push_back({{"name", kind.name},
                         {"asked", kind.asked},
                         {"on_time", kind.onTime},
                         {"late", kind.late},
                         {"refused", kind.refused},
                         {"failed", kind.failed},
                         {"first_median_ms", kind.firstMedianMs},
                         {"first_p90_ms", kind.firstP90Ms},
                         {"pause_p90_ms", kind.pauseP90Ms},
                         {"earned", kind.earned}});
    return {{"kinds", kinds},
            {"earned", report.earned},
            {"worst_windows", report.worstWindows},
            {"worst_kind", report.worstKind},
            {"read_tokens", report.engines.readTokens},
            {"kept_tokens", report.engines.keptTokens},
            {"moved_tokens", report.engines.movedTokens},
            {"stage_changes", report.engines.stageChanges},
            {"repeats", report.engines.repeats}};
}

std::string seriesCsv(const LoadPlan &plan, const std::vector<LoadRequest> &requests,
                      const std::vector<LoadRecord> &records,
                      const std::vector<EngineSample> &samples)
{
    struct Second
    {
        int asked = 0;
        int onTime = 0;
        int late = 0;
        int refused = 0;
        int failed = 0;
    };
    std::vector<Second> seconds(static_cast<std::size_t>(plan.lengthMs / 1000) + 1);
    for (std::size_t i = 0; i < requests.size(); ++i) {
        Second &second = seconds[static_cast<std::size_t>(requests[i].atMs / 1000)];
        ++second.asked;
        second.onTime += records[i].ending == LoadEnding::OnTime ? 1 : 0;
        second.late += records[i].ending == LoadEnding::Late ? 1 : 0;
        second.refused += records[i].ending == LoadEnding::Refused ? 1 : 0;
        second.failed += records[i].ending == LoadEnding::Failed ? 1 : 0;
    }
    std::ostringstream csv;
    csv << "second,asked,on_time,late,refused,failed,prefill,decode,changing,running,waiting,"
           "reserved_share,cached_share\n";
    for (const EngineSample &sample : samples) {
        const auto at = static_cast<std::size_t>(sample.atMs / 1000);
        const Second second = at < seconds.size() ? seconds[at] : Second();
        csv << at << ',' << second.asked << ',' << second.onTime << ',' << second.late << ','
            << second.refused << ',' << second.failed << ',' << sample.prefill << ','
            << sample.decode << ',' << sample.changing << ',' << sample.running << ','
            << sample.waiting << ',' << sample.reservedShare << ',' << sample.cachedShare << '\n';
    }
    return csv.str();
}

} // namespace cuminrail::emulation
