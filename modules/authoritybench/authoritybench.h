#pragma once

/**
    Trials of authority with real processes: holders of duties that are killed, paused and cut off.

    Purpose: a process that holds duties and does nothing else, over the real adapters, and a judge
    that reads only what the stand-ins recorded. extras/authority-runs.sh puts them together.

    Depends on: core, ports, lease, orders, usage, runtime, platform.
*/

#include "authoritybench/holder/AuthorityHolder.h"
#include "authoritybench/judge/AuthorityJudge.h"
