#pragma once

namespace cuminrail {

/** Estimate of a prompt's prefill at an engine, from the engine's prefill tracker. */
struct PrefillEstimate
{
    /** Time until the engine has completed the prefill of the prompts queued before. */
    double waitMillis = 0;
    /** Prompt tokens that the engine does not have cached, as far as is known. */
    double freshTokens = 0;
    /** Length of the prompt's prefix that the engine has cached and other engines can fetch. */
    double heldTokens = 0;
    /** False while the tracker is too new to know everything that the engine has cached. */
    bool knowsParts = false;
    /**
        The engine's cache was empty when the tracker was created, so it contains only what the
        tracker lists, however new the tracker is.
    */
    bool isComplete = false;
};

} // namespace cuminrail
