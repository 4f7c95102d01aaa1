#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace cuminrail {

/** One line of a request's story. */
struct StoryLine
{
    std::string time;
    std::string instance;
    std::string event;
    /** The other fields as "name=value", in the order of the log. */
    std::string details;
};

/** What several instances' logs say of one request. */
struct RequestStory
{
    std::vector<StoryLine> lines;
    /** Lines that are no JSON object, for instance cut ones. */
    std::size_t unreadable = 0;
    /** Lines that say that others were left out; the story may lack some. */
    std::size_t gaps = 0;
};

/**
    Collects a request's lines from logs of gateways, in the order of their times.

    Clocks of two machines differ; lines of one instance always stay in the order of its log.
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

/** Returns the story for people: a line each, and a last one that says what it comes to. */
std::string storyText(const RequestStory &story);

} // namespace cuminrail
