#include "gateway/admin/GatewayMetrics.h"

#include <prometheus/text_serializer.h>

namespace cuminrail {

namespace {

/** Range from a plain service's quick response to the longest deadline of the routes. */
const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{
        0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 6.0};
    return buckets;
}

std::string kindName(RouteKind kind)
{
    return std::string(routeKindNames.name(kind));
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("cuminrail_requests_total")
                    .Help("Requests by route kind and outcome")
                    .Register(registry_)),
      givenUp_(prometheus::BuildCounter()
                   .Name("cuminrail_given_up_total")
                   .Help("Requests without an upstream's answer, by cause and outcome")
                   .Register(registry_)),
      strayResponses_(prometheus::BuildCounter()
                          .Name("cuminrail_stray_responses_total")
                          .Help("Bytes of upstreams and of the platform that are not their "
                                "request's response, by place")
                          .Register(registry_)),
      requestSeconds_(prometheus::BuildHistogram()
                          .Name("cuminrail_request_seconds")
                          .Help("From a request's arrival to the end of its answer")
                          .Register(registry_)),
      firstResponseSeconds_(
          prometheus::BuildHistogram()
              .Name("cuminrail_first_answer_seconds")
              .Help("From a request's arrival to its first event or its plain answer")
              .Register(registry_)),
      prefillSeconds_(prometheus::BuildHistogram()
                          .Name("cuminrail_prompt_read_seconds")
                          .Help("From sending a prompt until it was read")
                          .Register(registry_)
                          .Add({}, latencyBuckets())),
      pauseSeconds_(prometheus::BuildHistogram()
                        .Name("cuminrail_stream_pause_seconds")
                        .Help("Between two events of one stream")
                        .Register(registry_)
                        .Add({}, latencyBuckets())),
      sentSeconds_(prometheus::BuildHistogram()
                       .Name("cuminrail_first_send_seconds")
                       .Help("From a request's arrival until it was first sent")
                       .Register(registry_)
                       .Add({}, latencyBuckets())),
      platformSeconds_(prometheus::BuildHistogram()
                           .Name("cuminrail_platform_call_seconds")
                           .Help("Calls of the platform's store and duties")
                           .Register(registry_))
{ }

void GatewayMetrics::requestEnded(RouteKind kind, RequestOutcome outcome, double seconds)
{
    requests_
        .Add(
            {{"kind", kindName(kind)}, {"outcome", std::string(requestOutcomeNames.name(outcome))}})
        .Increment();
    requestSeconds_.Add({{"kind", kindName(kind)}}, latencyBuckets()).Observe(seconds);
}

void GatewayMetrics::requestGivenUp(GiveUpCause cause, RequestOutcome outcome)
{
    givenUp_
        .Add({{"cause", std::string(giveUpCauseNames.name(cause))},
              {"outcome", std::string(requestOutcomeNames.name(outcome))}})
        .Increment();
}

void GatewayMetrics::firstResponse(RouteKind kind, double seconds)
{
    firstResponseSeconds_.Add({{"kind", kindName(kind)}}, latencyBuckets()).Observe(seconds);
}

void GatewayMetrics::prefillDone(double seconds)
{
    prefillSeconds_.Observe(seconds);
}

void GatewayMetrics::streamPaused(double seconds)
{
    pauseSeconds_.Observe(seconds);
}

void GatewayMetrics::firstSent(double seconds)
{
    sentSeconds_.Observe(seconds);
}

void GatewayMetrics::platformCall(const char *what, bool wasAnswered, double seconds)
{
    platformSeconds_
        .Add({{"call", what}, {"answered", wasAnswered ? "yes" : "no"}}, latencyBuckets())
        .Observe(seconds);
}

void GatewayMetrics::strayResponse(StrayPlace place)
{
    strayResponses_.Add({{"place", std::string(strayPlaceNames.name(place))}}).Increment();
}

void GatewayMetrics::setGauge(const std::string &name, const std::string &help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({}).Set(value);
}

void GatewayMetrics::setQuotas(const QuotaExchangeStats &quotas)
{
    const auto count = [this](const char *name, const char *help, std::uint64_t value) {
        setGauge(std::string("cuminrail_quota_") + name, help, static_cast<double>(value));
    };
    count("granted", "Requests granted within their customers' quotas", quotas.granted);
    count("refused", "Requests of customers over their quotas", quotas.refused);
    count("given_back", "Grants whose requests were not run", quotas.givenBack);
    count("unasked", "Small requests charged afterwards", quotas.unasked);
    count("unknown", "Requests whose customer's keeper did not answer", quotas.unknown);
    count("unanswered", "Questions that a keeper did not answer in time", quotas.unanswered);
}

void GatewayMetrics::setQuarantine(const GatewayGauges &gauges)
{
    const QuarantineStats &stats = gauges.quarantine;
    setGauge("cuminrail_quarantine_suspects", "Contents that are suspected now",
             static_cast<double>(gauges.suspects));
    setGauge("cuminrail_quarantine_ends",
             "Upstreams that ended, once for each request that they had",
             static_cast<double>(stats.ends));
    setGauge("cuminrail_quarantine_quarantined", "Verdicts that began",
             static_cast<double>(stats.quarantined));
    setGauge("cuminrail_quarantine_trials", "Requests that were sent as trials",
             static_cast<double>(stats.trials));
    setGauge("cuminrail_quarantine_called_back",
             "Requests that were taken back from upstreams as their content was suspected",
             static_cast<double>(gauges.counters.calledBack));
    setGauge("cuminrail_quarantine_cleared",
             "Suspected contents for which an answer here voided endings",
             static_cast<double>(stats.cleared));
}

void GatewayMetrics::setLoad(const GatewayGauges &gauges)
{
    setGauge("cuminrail_caller_connections_closed_unread",
             "Callers' connections that were closed before anything was read, under overload",
             static_cast<double>(gauges.closedUnread));
    setGauge("cuminrail_caller_connections_evicted",
             "Callers' connections that were closed while their callers were waited for",
             static_cast<double>(gauges.evicted));
    setGauge("cuminrail_caller_held_bytes",
             "Memory for callers' heads, bodies and unsent responses",
             static_cast<double>(gauges.heldBytes));
    setGauge("cuminrail_responses_out_of_order",
             "Responses that a fault of this process would have garbled; they were broken off",
             static_cast<double>(gauges.responsesOutOfOrder));
}

void GatewayMetrics::setLimits(const GatewayGauges &gauges)
{
    const LimitStats &stats = gauges.limits;
    setGauge("cuminrail_upstream_limits", "Upstreams that name a limit now",
             static_cast<double>(gauges.limitedUpstreams));
    setGauge("cuminrail_upstream_limit_used", "Requests sent to upstreams that name a limit",
             static_cast<double>(stats.used));
    setGauge("cuminrail_upstream_limit_unasked", "Of these, sent as the limit became known",
             static_cast<double>(stats.unasked));
    setGauge("cuminrail_upstream_limit_given_back", "Credits that no request used in time",
             static_cast<double>(stats.givenBack));
    setGauge("cuminrail_upstream_limit_refused", "Credits refused, as the limit was used up",
             static_cast<double>(stats.refused));
}

void GatewayMetrics::setStreams(const GatewayGauges &gauges)
{
    const RecordStats &stats = gauges.streamRecords;
    const auto set = [this](const char *name, const char *help, double value) {
        setGauge(std::string("cuminrail_stream_") + name, help, value);
    };
    set("take_ups", "Requests that took up a stream whose software version had to be found",
        static_cast<double>(gauges.counters.streamsTakenUp));
    set("records", "Records of where streams began that are kept here",
        static_cast<double>(gauges.streamRecordCount));
    set("records_dropped", "Records dropped before their time, as there were too many",
        static_cast<double>(gauges.streamRecordsDropped));
    set("records_sent", "Records sent to other instances", static_cast<double>(stats.published));
    set("records_kept", "Of these, confirmed by as many as wanted",
        static_cast<double>(stats.kept));
    set("look_ups", "Questions to other instances", static_cast<double>(stats.lookUps));
    set("look_ups_found", "Of these, answered with a record", static_cast<double>(stats.found));
    set("look_ups_missing", "Of these, no instance had a record",
        static_cast<double>(stats.missing));
    set("look_ups_unreachable", "Of these, no instance replied",
        static_cast<double>(stats.unreachable));
}

void GatewayMetrics::setLinkTraffic(const LinkTraffic &traffic)
{
    auto &frames = prometheus::BuildGauge()
                       .Name("cuminrail_link_frames")
                       .Help("Frames between instances since the start")
                       .Register(registry_);
    auto &bytes = prometheus::BuildGauge()
                      .Name("cuminrail_link_bytes")
                      .Help("Bytes of these frames, without the overhead of links")
                      .Register(registry_);
    const auto set = [&](LinkPurpose purpose, const char *direction, const FrameCount &count) {
        const prometheus::Labels labels{{"purpose", std::string(linkPurposeNames.name(purpose))},
                                        {"direction", direction}};
        frames.Add(labels).Set(static_cast<double>(count.frames));
        bytes.Add(labels).Set(static_cast<double>(count.bytes));
    };
    for (const auto &[purpose, name] : linkPurposeNames.entries) {
        set(purpose, "sent", traffic.sent(purpose));
        set(purpose, "received", traffic.received(purpose));
    }
}

std::string GatewayMetrics::page(const GatewayGauges &gauges)
{
    const RelayCounters &counters = gauges.counters;
    setGauge("cuminrail_ready", "1 while the instance takes new connections",
             gauges.isReady ? 1 : 0);
    setGauge("cuminrail_configuration_version", "Version of the configuration in force",
             static_cast<double>(gauges.configurationVersion));
    setGauge("cuminrail_configuration_age_seconds", "Since the store confirmed the configuration",
             gauges.configurationAgeSeconds);
    setGauge("cuminrail_upstreams_age_seconds", "Since the store confirmed the list of upstreams",
             gauges.upstreamsAgeSeconds);
    setGauge("cuminrail_upstreams", "Upstreams in the list", static_cast<double>(gauges.upstreams));
    setGauge("cuminrail_upstream_entries_refused",
             "Entries of the list that name no upstream to use",
             static_cast<double>(gauges.refusedUpstreams));
    setGauge("cuminrail_upstreams_leaving",
             "Upstreams known to leave from a response in the last minutes",
             static_cast<double>(gauges.leavingUpstreams));
    setGauge("cuminrail_upstreams_pausing",
             "Upstreams that asked this instance for a pause and have not taken a request since",
             static_cast<double>(gauges.pausingUpstreams));
    setGauge("cuminrail_caller_connections", "Open connections of callers",
             static_cast<double>(gauges.callerConnections));
    setGauge("cuminrail_upstream_connections", "Open connections to upstreams",
             static_cast<double>(gauges.upstreamConnections));
    setGauge("cuminrail_instances", "Instances registered", static_cast<double>(gauges.instances));
    setGauge("cuminrail_duty_holder", "1 while this instance holds the fleet's duties",
             gauges.isDutyHolder ? 1 : 0);
    setGauge("cuminrail_store_era", "Era that the store stated last; 0 if it never did",
             static_cast<double>(gauges.storeEra));
    setGauge("cuminrail_log_lines_dropped", "Log lines left out since the start",
             static_cast<double>(gauges.logLinesDropped));
    setGauge("cuminrail_requests_in_progress", "Requests not answered yet", counters.inProgress);
    setGauge("cuminrail_sends", "Sends to upstreams since the start",
             static_cast<double>(counters.sends));
    setGauge("cuminrail_repeats", "Sends beyond a request's first",
             static_cast<double>(counters.retries));
    setGauge("cuminrail_requests_handed_over", "Requests that other instances were to carry",
             static_cast<double>(counters.handedOver));
    setGauge("cuminrail_requests_handed_over_failed", "Of these, not served by the carrier",
             static_cast<double>(counters.handedOverFailed));
    setGauge("cuminrail_requests_carried", "Requests carried for other instances",
             static_cast<double>(counters.carried));
    setGauge("cuminrail_upstream_path",
             "New connections reach upstreams: 0 yes, 1 in doubt, 2 none does",
             static_cast<double>(gauges.pathState));
    setGauge("cuminrail_resumes", "Streams that went on at another upstream",
             static_cast<double>(counters.resumes));
    setGauge("cuminrail_streams_begun", "Streamed responses that callers began to receive",
             static_cast<double>(counters.streamsBegun));
    setGauge("cuminrail_streams_broken_off", "Of these, broken off here before their end",
             static_cast<double>(counters.streamsBrokenOff));
    setGauge("cuminrail_held", "Prompts that waited at the instance until engines had room",
             static_cast<double>(counters.deferred));
    setGauge("cuminrail_hand_overs", "Prompts read by a prefill engine first",
             static_cast<double>(counters.handOvers));
    setGauge("cuminrail_hand_overs_failed", "Of these, given up",
             static_cast<double>(counters.handOversFailed));
    setGauge("cuminrail_timeouts", "Requests whose time ran out",
             static_cast<double>(counters.timeouts));
    setQuotas(gauges.quotas);
    setQuarantine(gauges);
    setLoad(gauges);
    setLimits(gauges);
    setStreams(gauges);
    setLinkTraffic(gauges.linkTraffic);
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace cuminrail
