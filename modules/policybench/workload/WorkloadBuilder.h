#pragma once

#include "policybench/workload/Workload.h"

#include <functional>
#include <random>
#include <string>

namespace cuminrail::policybench {

/** A kind of request: sizes are medians of log-normal distributions. */
struct RequestKind
{
    double promptTokens = 1000;
    double outputTokens = 200;
    /** Standard deviation of the logarithm. */
    double spread = 0.6;
    Priority priority = Priority::Interactive;
    /** Share of the prompt that is a document other requests also ask about. */
    double documentShare = 0;
    /** How many documents of this kind are in use at a time. */
    std::size_t documents = 50;
    /** Relative number of requests. */
    double share = 1;
    /** Deadline after arrival in milliseconds, 0 for none. */
    double deadlineAfter = 0;
    bool repeatable = true;
};

/** How much a moment asks of the fleet. */
struct Mix
{
    /** Offered work as a share of what the regular fleet carries. */
    double load = 0.8;
    std::vector<RequestKind> kinds;
};

/** Puts a workload together step by step. */
class WorkloadBuilder
{
public:
    WorkloadBuilder(std::string name, std::uint64_t seed, double durationMs);

    /** Adds engines in turn over three failure domains. */
    void addEngines(std::size_t count, const std::string &costClass = "regular");
    /** Adds customers of one team with these shares of the requests. */
    void addCustomers(const std::vector<double> &shares, double reclaimableShare = 0);
    /** Adds a customer with its own arrivals: @c load is its work as a share of the fleet. */
    void addWhale(double load, double limitLoad, const RequestKind &kind,
                  const std::vector<std::size_t> &instances);
    /** Draws the arrivals of the customers that have shares. */
    void addArrivals(const std::function<Mix(double time)> &mixAt);

    Workload take();

    /** Engine milliseconds that a request of this size takes at best. */
    static double engineMs(double promptTokens, double outputTokens);

    Workload workload;

private:
    double uniform();
    double logNormal(double median, double spread);
    double meanEngineMs(const RequestKind &kind) const;
    WorkloadRequest draw(const RequestKind &kind, double time, std::size_t customer);
    const RequestKind &pick(const std::vector<RequestKind> &kinds);
    std::size_t pickCustomer();

    std::mt19937_64 random_;
    std::vector<double> customerShares_;
    std::uint64_t unique_ = 1;
};

} // namespace cuminrail::policybench
