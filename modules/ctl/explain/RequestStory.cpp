#include "ctl/explain/RequestStory.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminrail {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char *droppedEvent = "log-lines-dropped";

std::string textIn(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

StoryLine lineOf(const Json &json)
{
    StoryLine line{textIn(json, "ts"), textIn(json, "instance"), textIn(json, "name"), {}};
    for (const auto &[name, value] : json.items()) {
        const bool isCommonField = name == "ts" || name == "instance" || name == "name"
            || name == "event" || name == "level" || name == "request";
        if (isCommonField || !value.is_string() || value.get<std::string>().empty())
            continue;
        line.details += (line.details.empty() ? "" : " ") + name + "=" + value.get<std::string>();
    }
    return line;
}

std::string valueOf(const StoryLine &line, const std::string &name)
{
    const auto at = (" " + line.details).find(" " + name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 1;
    return line.details.substr(begin, line.details.find(' ', begin) - begin);
}

/** Describes the outcome that the last line of a request states. */
std::string outcomeText(const StoryLine &last)
{
    const std::string verdict = valueOf(last, "verdict");
    const std::string ran = verdict == "not-run" ? "it did not run and may be sent again"
        : verdict == "ran"                       ? "it ran; do not repeat it blindly"
                           : "it may have run; ask the service before repeating it";
    if (last.event == "request-served")
        return "answered with the upstream's own status " + valueOf(last, "status");
    if (last.event == "request-refused")
        return "refused with " + valueOf(last, "status") + "; " + ran;
    if (last.event == "request-failed")
        return "failed; " + ran;
    if (last.event == "caller-left")
        return "the caller left before its answer; " + ran;
    return "no end is logged: still under way, or its line was left out";
}

} // namespace

void StoryReader::read(std::istream &log)
{
    for (std::string text; std::getline(log, text);) {
        if (text.empty())
            continue;
        const Json json = Json::parse(text, nullptr, false);
        if (!json.is_object()) {
            ++story_.unreadable;
            continue;
        }
        if (textIn(json, "name") == droppedEvent)
            ++story_.gaps;
        if (textIn(json, "request") == requestId_)
            story_.lines.push_back(lineOf(json));
    }
}

RequestStory StoryReader::story() const
{
    RequestStory sorted = story_;
    std::stable_sort(sorted.lines.begin(), sorted.lines.end(),
                     [](const StoryLine &a, const StoryLine &b) { return a.time < b.time; });
    return sorted;
}

std::string storyText(const RequestStory &story)
{
    std::string text;
    for (const StoryLine &line : story.lines)
        text += line.time + "  " + line.instance + "  " + line.event + "  " + line.details + "\n";
    if (story.lines.empty())
        text += "no line of these logs names the request\n";
    else
        text += "=> " + outcomeText(story.lines.back()) + "\n";
    if (story.gaps > 0)
        text += "some lines were left out of these logs (" + std::to_string(story.gaps)
            + " notices): the story may lack steps\n";
    if (story.unreadable > 0)
        text += std::to_string(story.unreadable) + " lines could not be read\n";
    return text;
}

} // namespace cuminrail
