#pragma once

#include "scenario/language/ScenarioRun.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** One thing that can go wrong at a message. */
struct MatrixFault
{
    std::string name;
    /** Breaks the world at this message and says what becomes of the message. */
    std::function<MessageFate(ScenarioWorld &, const FakeMessage &)> strike;
    /** Whether the fault can strike there at all. */
    std::function<bool(const ScenarioScript &, const FakeMessage &)> applies;
};

/** One row: this fault at this step of this operation. */
struct MatrixRow
{
    const ScenarioScript *operation = nullptr;
    const MatrixFault *fault = nullptr;
    FakeMessage step;
    /** Of a pair, the second fault and where it strikes. */
    const MatrixFault *secondFault = nullptr;
    std::optional<FakeMessage> secondStep;

    /** Returns "kill/order-plain:17", what --only takes. */
    std::string name() const;
};

struct MatrixTotals
{
    std::size_t passed = 0;
    std::size_t failed = 0;
};

/**
    Every fault at every step of every operation.

    The steps of an operation are the messages of an undisturbed run, so that a message that a
    later version adds brings its rows along. One seed gives one history, so that the disturbed
    run is the same as the undisturbed one up to the step.
*/
class FaultMatrix
{
public:
    static const std::vector<MatrixFault> &faults();
    /** Returns the operations, written in the scenario language. */
    static const std::vector<ScenarioScript> &operations();

    /** Returns the rows of single faults for a seed. */
    static std::vector<MatrixRow> singles(std::uint64_t seed);
    /** Returns pairs of faults, thinned so that there are at most @c limit. */
    static std::vector<MatrixRow> pairs(std::uint64_t seed, std::size_t limit);
    static ScenarioResult run(const MatrixRow &row, std::uint64_t seed);
};

} // namespace cuminrail
