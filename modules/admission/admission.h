#pragma once

/**
    Admission control: which requests run, in which order, and which are refused.

    Purpose: customer limits shared by all instances (which lend each other budget), fair queueing
    by cost, deadlines, early refusal. docs/LIMITS.md has the design and the operators' view.

    Depends on: core, settings, nlohmann-json (messages between instances).
*/

#include "admission/AdmissionController.h"
#include "admission/AdmissionTypes.h"
#include "admission/budget/BudgetLedger.h"
#include "admission/budget/BudgetMessages.h"
#include "admission/limits/AdmissionSettingsBuilder.h"
