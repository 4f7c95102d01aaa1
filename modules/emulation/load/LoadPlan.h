#pragma once

#include "emulation/engine/EngineFigures.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail::emulation {

/** A size that varies: log-normal around its mean, cut off at the most. */
struct SizeSpread
{
    double mean = 1;
    /** Standard deviation of the logarithm; 0 for always the mean. */
    double spread = 0;
    double most = 1e9;
};

/** Parts of prompts that requests of one kind have in common. */
struct SharedParts
{
    int count = 1;
    SizeSpread tokens;
    /** How uneven their use is: the n-th most used one has weight n to the power of minus this. */
    double skew = 0;
};

/** Requests of one sort. */
struct LoadKind
{
    std::string name;
    double perSecond = 1;
    /** Parts from the prompt's start on, from the most to the least common. */
    std::vector<SharedParts> shared;
    SizeSpread ownTokens;
    SizeSpread events;
    double goalMs = 1000;
    double pauseGoalMs = 1000;
    double deadlineMs = 6000;
    /** What an answer on time, and a late one, is worth to the caller. */
    double worth = 1;
    double lateWorth = 0;
    int priority = 0;
    int maxAttempts = 1;
    bool canResume = false;
};

/** More or fewer requests for a while. */
struct Surge
{
    double fromMs = 0;
    double toMs = 0;
    /** Empty for all kinds. */
    std::string kind;
    double factor = 1;
};

/** What happens to engines. */
struct EngineLoss
{
    double atMs = 0;
    /** All of this domain's but the first @c kept; empty: any, as many as @c count. */
    std::string domain;
    int count = 1;
    int kept = 0;
    /** Told so long before; 0: they are gone without a word. */
    double noticeMs = 0;
    /** Others take their place after this long; 0 for never. */
    double backAfterMs = 0;
};

/** A day of load, as a file describes it. */
struct LoadPlan
{
    std::string name;
    double lengthMs = 60000;
    std::vector<std::string> domains;
    int instances = 6;
    int enginesPerDomain = 6;
    /** Of all engines at the start; what the stage plan then makes of it is its own. */
    double prefillShare = 0.66;
    /** Of the engines that come later. */
    double laterPrefillShare = 0.35;
    /** One way between an instance and an engine, in its own and in another domain. */
    double nearMs = 0.5;
    double farMs = 1.0;
    /** How late instances hear that an engine came, changed or left. */
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
