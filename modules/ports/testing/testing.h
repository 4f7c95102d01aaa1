#pragma once

/**
    Fakes at the ports, for the tests of decision modules and for scenarios.

    Purpose: virtual time, processes that can be killed and paused, a network whose messages can
    be lost and delayed, and the platform and engines behind it, each recording what it received.
    A fake holds what a fault needs, no more. An instance never uses them.
*/

#include "ports/testing/FakeEngines.h"
#include "ports/testing/FakeFleet.h"
#include "ports/testing/FakeNetwork.h"
#include "ports/testing/FakeObjectStore.h"
#include "ports/testing/FakeProcess.h"
#include "ports/testing/FakeScheduler.h"
#include "ports/testing/FakeService.h"
#include "ports/testing/FakeUsageReceiver.h"
