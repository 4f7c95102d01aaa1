#pragma once

#include "instance/request/RequestPlan.h"
#include "net/http/HttpHead.h"

#include <cstdint>
#include <string>

namespace cuminrail {

/** Serializes a completion request for an engine, without any of the caller's headers. */
std::string completionWire(const RequestPlan &plan, const std::string &attemptId,
                           const std::string &address, const std::string &body);

/** Serializes a call to a plain service, with the caller's headers that may be forwarded. */
std::string serviceWire(const RequestPlan &plan, const HttpHead &head, const std::string &attemptId,
                        const std::string &address, const std::string &body);

/** Serializes the request that resumes a stream at the given event number. */
std::string resumeWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address, std::uint64_t nextEvent);

/** Serializes the request that cancels an attempt at its engine. */
std::string cancelWire(const RequestPlan &plan, const std::string &attemptId,
                       const std::string &address);

} // namespace cuminrail
