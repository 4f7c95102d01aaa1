#pragma once

#include "core/verdict/Verdict.h"
#include "ports/testing/FakeNetwork.h"

#include <functional>
#include <string>
#include <vector>

namespace cuminrail {

/** One call that a plain service really carried out. */
struct ServiceRun
{
    Millis when;
    std::string from;
    /** Unique for one caller's one try. */
    std::string attempt;
    std::string customer;
    /** What the caller wants done once: a lodging, an invoice. */
    std::string work;
};

/** How a call to the service ended at the instance. */
struct ServiceReply
{
    Verdict verdict = Verdict::MayHaveRun;
    std::string body;
};

/** A plain service that carries out whatever it gets, as often as it gets it; endpoint "service".
 */
class FakeService
{
public:
    static constexpr const char *endpoint = "service";

    explicit FakeService(FakeNetwork &network) : network_(network) { }
    FakeService(const FakeService &) = delete;
    FakeService &operator=(const FakeService &) = delete;

    /** Sends a call as one process; answers once. */
    void send(const FakeProcessPtr &process, const ServiceRun &run,
              const std::function<void(const ServiceReply &)> &done);
    const std::vector<ServiceRun> &runs() const { return runs_; }

private:
    FakeNetwork &network_;
    std::vector<ServiceRun> runs_;
};

} // namespace cuminrail
