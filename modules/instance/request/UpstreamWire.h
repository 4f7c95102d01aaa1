#pragma once

#include "instance/request/RequestPlan.h"
#include "net/http/HttpHead.h"

#include <cstdint>
#include <string>

namespace cuminrail {

/** Returns a completion request for an engine. None of the caller's headers are in it. */
std::string completionWire(const RequestPlan &plan, const std::string &attemptId,
                           const std::string &address, const std::string &body);

/** Returns a call for a plain service, with the caller's headers that may go on. */
std::string serviceWire(const RequestPlan &plan, const HttpHead &head, const std::string &attemptId,
                        const std::string &address, const std::string &body);

/** Returns the request for the rest of a stream, from an event's number. */
std::string resumeWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address, std::uint64_t nextEvent);

/** Returns the request that ends an attempt at its engine. */
std::string cancelWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address);

} // namespace cuminrail
