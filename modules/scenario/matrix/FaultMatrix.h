#pragma once

#include "scenario/language/ScenarioRun.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** A fault that can be injected at a message. */
struct MatrixFault
{
    std::string name;
    /** Injects the fault at this message and returns whether the message is lost or delayed. */
    std::function<MessageFate(ScenarioWorld &, const FakeMessage &)> strike;
    /** Whether the fault can be injected at this message. */
    std::function<bool(const ScenarioScript &, const FakeMessage &)> applies;
};

/** One run of the matrix: a fault, or a pair of faults, in an operation. */
struct MatrixRow
{
    const ScenarioScript *operation = nullptr;
    const MatrixFault *fault = nullptr;
    FakeMessage step;
    /** In a pair, the second fault and the step at which it is injected. */
    const MatrixFault *secondFault = nullptr;
    std::optional<FakeMessage> secondStep;

    /** Returns "kill/order-plain:17", the argument of --only. */
    std::string name() const;
};

struct MatrixTotals
{
    std::size_t passed = 0;
    std::size_t failed = 0;
};

/**
    Injects every fault at every step of every operation.

    The steps of an operation are the messages of a run without faults, so that messages added by
    a later version get rows of their own. Runs are deterministic for a seed, so that a run with a
    fault is identical to the run without it up to the step.
*/
class FaultMatrix
{
public:
    static const std::vector<MatrixFault> &faults();
    /** Returns the operations, written in the scenario language. */
    static const std::vector<ScenarioScript> &operations();

    /** Returns the rows with a single fault for a seed. */
    static std::vector<MatrixRow> singles(std::uint64_t seed);
    /** Returns rows with two faults, sampled evenly down to @c limit; 0 returns all. */
    static std::vector<MatrixRow> pairs(std::uint64_t seed, std::size_t limit);
    static ScenarioResult run(const MatrixRow &row, std::uint64_t seed);
};

} // namespace cuminrail
