#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail::pathbench {

/** What came of a load. */
struct LoadResult
{
    /** From the request's first byte to the answer's last, in µs, one per whole 200. */
    std::vector<double> latencies;
    std::uint32_t failures = 0;
    double seconds = 0;
};

/** Connections to one port that carry loads, one after the other, from the calling thread. */
class LoadClient
{
public:
    LoadClient(std::uint16_t port, std::uint32_t connections);
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    /** Sends this many requests, each connection the next as soon as it has its answer. */
    LoadResult run(const std::string &wire, std::uint32_t requests);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/** Returns a value below which a share of the samples lies; sorts them. */
double percentile(std::vector<double> &samples, double share);

} // namespace cuminrail::pathbench
