#pragma once

/**
    Leases on duties: which instance may act for a failure domain or a team, and until when.

    Purpose: every duty is one object "leases/<duty>" in the platform's store with a fence number
    that rises with each holder. The instances distribute the duties among themselves, renew them,
    take over those of a crashed instance and release their own when they stop. See docs/LEASES.md.

    Runs on an instance's control thread only.

    Depends on: core, ports, nlohmann-json.
*/

#include "lease/assignment/DutyAssignment.h"
#include "lease/manager/DutyLease.h"
#include "lease/manager/LeaseManager.h"
#include "lease/manager/LeaseTiming.h"
#include "lease/record/LeaseRecord.h"
