#pragma once

/**
    Small value types that every other module leans on.

    Purpose: time in milliseconds, the verdict on whether a request may have run, reasons for
    errors, identifiers, tables of names for enumerations, numbered events, random numbers, texts
    of JSON that are split before they are parsed, the range of HTTP status codes.

    Depends on: the C++ standard library.
*/

#include "core/errors/Reason.h"
#include "core/events/Event.h"
#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "core/http/HttpStatus.h"
#include "core/ids/Ids.h"
#include "core/ids/Indexes.h"
#include "core/json/JsonText.h"
#include "core/names/NameTable.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
