#include "ReceivedResponse.h"

#include "Callers.h"
#include "standin/proxy/HttpFraming.h"

#include <algorithm>

namespace cuminrail::soak {

namespace {

/** Returns the events of a stream after one of them, from a server with this software version. */
std::string eventsOf(const std::string &id, int after, const std::string &version)
{
    std::string all;
    for (int i = after + 1; i <= platform::standinEvents; ++i)
        all += platform::standinEvent(id, i, version);
    return all;
}

bool isStream(const CallResult &result)
{
    return result.kind == CallKind::Stream || result.kind == CallKind::Once;
}

void checkSuccess(const CallResult &result, std::vector<std::string> &broken)
{
    const std::string body = bodyOf(result.text);
    const auto events = receivedEvents(body);
    const std::string version = events.empty() ? "" : events.front().version;
    const std::string expected = isStream(result) ? eventsOf(result.id, result.resumeAfter, version)
                                                  : platform::standinBody(result.id);
    if (result.isWhole && body != expected)
        broken.push_back(result.id + ": a success with another body than the server's");
    if (!result.isWhole && !result.hadNoEnd && expected.compare(0, body.size(), body) != 0)
        broken.push_back(result.id + ": a success that breaks off behind bytes not the server's");
    if (result.isWhole && platform::stampIn(result.text) != "stamp-" + result.id)
        broken.push_back(result.id + ": a success without its own server's stamp");
}

void checkFailure(const CallResult &result, std::vector<std::string> &broken)
{
    const std::string stamp = platform::stampIn(result.text);
    if (stamp.empty())
        return;
    if (stamp != "stamp-" + result.id)
        broken.push_back(result.id + ": a failure with another request's stamp");
    const std::string expected = isStream(result) ? "failed" : platform::standinBody(result.id);
    if (result.status != 500)
        broken.push_back(result.id
                         + ": a failure with a stamp and another status than the server's");
    else if (result.isWhole && bodyOf(result.text) != expected)
        broken.push_back(result.id + ": a failure with another body than the server's");
}

} // namespace

std::vector<ReceivedEvent> receivedEvents(const std::string &body)
{
    std::vector<ReceivedEvent> events;
    std::size_t at = 0;
    for (auto end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
        const std::string text = body.substr(at, end - at);
        const auto id = text.find("id: ");
        const auto data = text.find("data: ");
        if (id != std::string::npos && data != std::string::npos) {
            const auto blank = text.find(' ', data + 6);
            events.push_back({std::atoi(text.c_str() + id + 4),
                              blank == std::string::npos ? "" : text.substr(blank + 1)});
        }
        at = end + 2;
    }
    return events;
}

bool isChunkFramed(const CallResult &result)
{
    const std::string &text = result.text;
    const auto headEnd = text.find("\r\n\r\n");
    if (headEnd == std::string::npos
        || text.substr(0, headEnd).find("chunked") == std::string::npos)
        return true;
    for (std::size_t at = headEnd + 4; at < text.size();) {
        const std::size_t end = std::min(text.find("\r\n", at), text.size());
        const std::string size = text.substr(at, end - at);
        const bool isCutOff = end == text.size();
        if (size.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos
            || (size.empty() && !isCutOff))
            return isCutOff && size.back() == '\r';
        at = end + 2 + std::strtoul(size.c_str(), nullptr, 16) + 2;
    }
    return true;
}

void checkResponse(const CallResult &result, std::vector<std::string> &broken)
{
    const std::string identity = headerValue(result.text, "Request-Id");
    if (!identity.empty() && identity != result.id)
        broken.push_back(result.id + ": a response with another request's identity");
    if (result.status >= 200 && result.status < 300)
        checkSuccess(result, broken);
    else
        checkFailure(result, broken);
}

} // namespace cuminrail::soak
