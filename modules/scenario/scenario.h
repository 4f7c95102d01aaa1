#pragma once

/**
    Scenarios in a small language, the judge of the project's promises, and the fault matrix.

    Purpose: to try every promise in virtual time with the very modules that an instance runs, on
    the fakes at the ports. See docs/SCENARIOS.md.

    Depends on: every decision module and their fakes in ports/testing.
*/

#include "scenario/judge/Judge.h"
#include "scenario/language/ScenarioRun.h"
#include "scenario/language/ScenarioScript.h"
#include "scenario/matrix/FaultMatrix.h"
#include "scenario/world/ScenarioWorld.h"
