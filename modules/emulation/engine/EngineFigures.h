#pragma once

namespace cuminrail::emulation {

/** Performance model of one kind of engine. The defaults are those of a small real engine. */
struct EngineFigures
{
    /** Maximum of concurrently running requests, and of queued ones. */
    int slots = 64;
    int waiting = 192;
    /** One decode step generates one token for every running request. */
    double stepMs = 4.34;
    double stepMsPerRequest = 0.151;
    /** For each thousand context tokens of running requests. */
    double stepMsPerContextThousand = 0.0019;
    /** Prefill rate of a prefill engine. */
    double promptTokensPerMs = 36.7;
    /** Attention cost of prefill: for each million pairs of a new and an earlier token. */
    double pairMsPerMillion = 0.248;
    int chunkTokens = 2048;
    /** Factors on prefill rate and chunk size of a decode engine. */
    double decodeReadFactor = 0.5;
    double decodeChunkFactor = 0.25;
    /** Delay from the last prefill chunk to the first event. */
    double firstMs = 22;
    int tokensPerEvent = 8;
    double memoryTokens = 400000;
    double cacheBytesPerToken = 18432;
    /** Link for cache transfers, which run one after another. */
    double linkMbps = 180000;
    double transferSetupMs = 8;
    /** Retention of a cache that was not fetched. */
    double handleMs = 5000;
    /** Duration of a stage change after running work has finished. */
    double stageSwitchMs = 3000;
};

} // namespace cuminrail::emulation
