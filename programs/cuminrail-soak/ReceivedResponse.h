#pragma once

#include <string>
#include <vector>

namespace cuminrail::soak {

struct CallResult;

/** An event as a caller received it. */
struct ReceivedEvent
{
    int number = 0;
    std::string version;
};

/** Returns the whole events of a body without chunk framing. */
std::vector<ReceivedEvent> receivedEvents(const std::string &body);

/** Whether a response's body, as far as it was received, has no bytes that are no chunk. */
bool isChunkFramed(const CallResult &result);

/** Adds what of a response isn't its request's own, and what isn't whole though it ends so. */
void checkResponse(const CallResult &result, std::vector<std::string> &broken);

} // namespace cuminrail::soak
