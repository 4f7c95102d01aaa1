#pragma once

/**
    The scenario language, the checks of the system's guarantees, and the fault matrix.

    Purpose: tests every guarantee in virtual time with the same modules that an instance runs,
    connected to fake ports. See docs/SCENARIOS.md.

    Depends on: every decision module and their fakes in ports/testing.
*/

#include "scenario/judge/Judge.h"
#include "scenario/language/ScenarioRun.h"
#include "scenario/language/ScenarioScript.h"
#include "scenario/matrix/FaultMatrix.h"
#include "scenario/world/ScenarioWorld.h"
