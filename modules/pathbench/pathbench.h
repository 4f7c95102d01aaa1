#pragma once

/**
    Measurements of the request path over real sockets, against the stand-ins.

    Purpose: what an instance adds to a request in time and processor work, and whether a call that
    may not be repeated ever runs twice while connections break at every point of its way.

    Depends on: core, settings, identity, instance, standin, Boost.Asio, Boost.Beast.
*/

#include "pathbench/load/LoadClient.h"
#include "pathbench/once/AtMostOnceRun.h"
#include "pathbench/path/PathRun.h"
#include "pathbench/setup/BenchInstance.h"
