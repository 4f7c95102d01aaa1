#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace cuminrail {

/** One log line of a request. */
struct StoryLine
{
    std::string time;
    std::string instance;
    std::string event;
    /** The other fields as "name=value", in the order of the log. */
    std::string details;
};

/** The log lines of one request from the logs of several instances. */
struct RequestStory
{
    std::vector<StoryLine> lines;
    /** Lines that are not a JSON object, for example truncated ones. */
    std::size_t unreadable = 0;
    /** Notices that log lines were dropped, so lines of this request may be missing. */
    std::size_t gaps = 0;
};

/**
    Collects the lines of a request from gateway logs, sorted by timestamp.

    Clocks of different machines may differ, so lines of two instances may be out of order. The
    lines of one instance stay in the order of its log.
*/
class StoryReader
{
public:
    explicit StoryReader(std::string requestId) : requestId_(std::move(requestId)) { }

    void read(std::istream &log);
    RequestStory story() const;

private:
    std::string requestId_;
    RequestStory story_;
};

/** Returns the request's log lines as text, followed by a line that states the outcome. */
std::string storyText(const RequestStory &story);

} // namespace cuminrail
