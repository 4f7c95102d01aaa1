#pragma once

namespace cuminrail::emulation {

/** What one kind of engine does in which time. The defaults are those of a small real engine. */
struct EngineFigures
{
    /** Requests that run at once; more wait. */
    int slots = 64;
    int waiting = 192;
    /** One step of the batch writes one token for every running request. */
    double stepMs = 4.34;
    double stepMsPerRequest = 0.151;
    /** For each thousand tokens in memory of the requests that run. */
    double stepMsPerContextThousand = 0.0019;
    /** Reading, for an engine that only reads. */
    double promptTokensPerMs = 36.7;
    /** Reading slows down with what was read before: for each million pairs of tokens. */
    double pairMsPerMillion = 0.248;
    int chunkTokens = 2048;
    /** What a generating engine reads is slower and in smaller chunks by these factors. */
    double decodeReadFactor = 0.5;
    double decodeChunkFactor = 0.25;
    /** From the last chunk to the first event. */
    double firstMs = 22;
    int tokensPerEvent = 8;
    double memoryTokens = 400000;
    double cacheBytesPerToken = 18432;
    /** The link over which prompts are handed over, one after another. */
    double linkMbps = 180000;
    double transferSetupMs = 8;
    /** A cache that nobody fetched is kept so long. */
    double handleMs = 5000;
    /** How long a change of stage takes once running work is over. */
    double stageSwitchMs = 3000;
};

} // namespace cuminrail::emulation
