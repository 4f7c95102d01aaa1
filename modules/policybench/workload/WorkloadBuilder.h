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
    /** Share of the prompt taken by a document that other requests share. */
    double documentShare = 0;
    /** Number of documents of this kind in use at the same time. */
    std::size_t documents = 50;
    /** Relative number of requests. */
    double share = 1;
    /** Deadline after arrival in milliseconds, 0 for none. */
    double deadlineAfter = 0;
    bool repeatable = true;
};

/** Offered load and kinds of requests at one moment. */
struct Mix
{
    /** Offered work as a share of the capacity of the regular engines. */
    double load = 0.8;
    std::vector<RequestKind> kinds;
};

/** Builds a workload step by step. */
class WorkloadBuilder
{
public:
    WorkloadBuilder(std::string name, std::uint64_t seed, double durationMs);

    /** Adds engines, assigned round-robin to three failure domains. */
    void addEngines(std::size_t count, const std::string &costClass = "regular");
    /** Adds a team of customers with the given shares of the requests. */
    void addCustomers(const std::vector<double> &shares, double reclaimableShare = 0);
    /** Adds a customer with separate arrivals: @c load is its work as a share of the fleet. */
    void addWhale(double load, double limitLoad, const RequestKind &kind,
                  const std::vector<std::size_t> &instances);
    /** Draws the arrivals of the customers that were added with shares. */
    void addArrivals(const std::function<Mix(double time)> &mixAt);

    Workload take();

    /** Returns the least engine time in milliseconds for a request of this size. */
    static double engineMs(double promptTokens, double outputTokens);

    Workload workload;

private:
    double uniform();
    double logNormal(double median, double spread);
    double meanEngineMs(const RequestKind &kind) const;
    WorkloadRequest drawRequest(const RequestKind &kind, double time, std::size_t customer);
    const RequestKind &pickKind(const std::vector<RequestKind> &kinds);
    std::size_t pickCustomer();

    std::mt19937_64 random_;
    std::vector<double> customerShares_;
    std::uint64_t lastUniqueId_ = 1;
};

} // namespace cuminrail::policybench
