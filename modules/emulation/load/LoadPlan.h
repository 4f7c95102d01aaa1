#pragma once

#include "emulation/engine/EngineFigures.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail::emulation {

/** A log-normally distributed size with the given mean, clamped to a maximum. */
struct SizeSpread
{
    double mean = 1;
    /** Standard deviation of the logarithm; 0 for a constant size. */
    double spread = 0;
    double most = 1e9;
};

/** A pool of prompt parts shared by requests of one kind. */
struct SharedParts
{
    int count = 1;
    SizeSpread tokens;
    /** Zipf exponent: the n-th most used part has weight n to the power of minus this. */
    double skew = 0;
};

/** A class of requests with common size distributions and latency goals. */
struct LoadKind
{
    std::string name;
    double perSecond = 1;
    /** Shared parts in prompt order, from the most to the least widely shared. */
    std::vector<SharedParts> shared;
    SizeSpread ownTokens;
    SizeSpread events;
    double goalMs = 1000;
    double pauseGoalMs = 1000;
    double deadlineMs = 6000;
    /** Value to the caller of a response on time, and of a late one. */
    double worth = 1;
    double lateWorth = 0;
    int priority = 0;
    int maxAttempts = 1;
    bool canResume = false;
};

/** A temporary change of the request rate. */
struct Surge
{
    double fromMs = 0;
    double toMs = 0;
    /** Kind affected; empty for all kinds. */
    std::string kind;
    double factor = 1;
};

/** A loss of engines at a given time. */
struct EngineLoss
{
    double atMs = 0;
    /** Loses all engines of this domain except the first @c kept; if empty, any @c count engines.
     */
    std::string domain;
    int count = 1;
    int kept = 0;
    /** Advance notice of the loss; 0 for a crash without notice. */
    double noticeMs = 0;
    /** Delay until replacement engines start; 0 for no replacement. */
    double backAfterMs = 0;
};

/** A load scenario as described by a load file. */
struct LoadPlan
{
    std::string name;
    double lengthMs = 60000;
    std::vector<std::string> domains;
    int instances = 6;
    int enginesPerDomain = 6;
    /** Share of prefill engines at the start; the stage plan may change it later. */
    double prefillShare = 0.66;
    /** Share of prefill engines among engines added later. */
    double laterPrefillShare = 0.35;
    /** One-way latency between an instance and an engine, within a domain and across domains. */
    double nearMs = 0.5;
    double farMs = 1.0;
    /** Delay until instances learn that an engine was added, changed stage or left. */
    double listLagMs = 900;
    double bodyBytesPerToken = 1;
    double repeatRatio = 0.2;
    double repeatExtra = 52;
    double repeatWindowMs = 10000;
    EngineFigures engine;
    std::vector<LoadKind> kinds;
    std::vector<Surge> surges;
    std::vector<EngineLoss> losses;
};

} // namespace cuminrail::emulation
