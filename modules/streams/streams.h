#pragma once

/**
    At which service and software version each resumable stream began, known at any instance.

    Depends on core, ports, dataplane (routes, versions of upstreams), keepers, keyedrecords.
*/

#include "streams/origin/StreamOrigins.h"
