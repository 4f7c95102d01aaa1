#pragma once

namespace cuminrail {

/** What awaits a prompt at an engine. */
struct ReadingOffer
{
    /** Until the engine has read what is before it. */
    double waitMillis = 0;
    /** Prompt tokens that the engine does not hold, as far as is known. */
    double freshTokens = 0;
    /** Tokens from the prompt's start on that the engine has read, so that others can fetch them.
     */
    double heldTokens = 0;
    /** False while the book is too young to have seen all that the engine holds. */
    bool knowsParts = false;
    /**
        The engine had read nothing when the book began, so it holds nothing but what is in there,
        however young the book is.
    */
    bool isComplete = false;
};

} // namespace cuminrail
