#pragma once

/**
    What instances tell each other of the prompts that engines have still to read.

    An instance that sees a ninth of the load cannot tell which engine is free. For each engine one
    instance keeps a book of the prompts that were sent there by all; whoever is about to place a
    long prompt asks the keepers of the engines that it considers. Lost, late or doubled messages
    and keepers that are gone cost accuracy, never a request.

    Depends on core, ports, keepers, membership (bounds and encoding of frames), dataplane.
*/

#include "readingbooks/book/ReadingBook.h"
#include "readingbooks/exchange/BookExchange.h"
#include "readingbooks/messages/BookMessages.h"
