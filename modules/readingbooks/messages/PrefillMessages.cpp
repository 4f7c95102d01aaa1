#include "readingbooks/messages/PrefillMessages.h"

#include "membership/messages/CborArrayReader.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

using nlohmann::json;

/** First element of each frame: format and kind. Frames of another format are rejected. */
enum class Tag : std::uint8_t { Query = 0x11, Reply = 0x12, Start = 0x13, End = 0x14 };

/** Encoded numbers are whole; rates are scaled to keep two decimal places. */
constexpr std::size_t elementsPerEstimate = 5;
constexpr double rateUnit = 100;
constexpr std::uint64_t maxMillis = 1'000'000;
constexpr std::uint64_t maxTokens = 100'000'000;
constexpr std::uint64_t maxRate = 1'000'000;

std::uint64_t whole(double value, std::uint64_t maxValue)
{
    return static_cast<std::uint64_t>(std::clamp(std::round(value), 0.0, double(maxValue)));
}

json chainJson(const PromptChain &chain)
{
    json links = json::array();
    for (std::size_t i = 0; i < std::min(chain.links.size(), PrefillMessageLimits::links); ++i) {
        links.push_back(chain.links[i].key);
        links.push_back(chain.links[i].tokens);
    }
    return links;
}

PromptChain decodeChain(CborArrayReader &message)
{
    PromptChain chain;
    chain.tokens = static_cast<std::uint32_t>(message.number(maxTokens));
    CborArrayReader links(message.list(2 * PrefillMessageLimits::links));
    while (links.isValid() && !links.isFullyRead()) {
        const std::uint64_t key = links.number();
        const auto tokens = static_cast<std::uint32_t>(links.number(maxTokens));
        chain.links.push_back({key, tokens});
    }
    if (!links.isValid())
        message.fail();
    return chain;
}

json encode(const PrefillQuery &query)
{
    return json::array(
        {Tag::Query, query.number, query.chain.tokens, chainJson(query.chain), query.engines});
}

json encode(const PrefillReply &reply)
{
    json estimates = json::array();
    for (const PrefillEstimate &estimate : reply.estimates) {
        estimates.push_back(whole(estimate.waitMillis, maxMillis));
        estimates.push_back(whole(estimate.freshTokens, maxTokens));
        estimates.push_back(whole(estimate.heldTokens, maxTokens));
        estimates.push_back(estimate.knowsParts);
        estimates.push_back(estimate.isComplete);
    }
    return json::array({Tag::Reply, reply.number, std::move(estimates)});
}

json encode(const PrefillStart &start)
{
    return json::array({Tag::Start, start.number, start.engine, start.chain.tokens,
                        chainJson(start.chain), whole(start.freshTokens, maxTokens),
                        whole(start.rate.tokensPerMilli * rateUnit, maxRate),
                        whole(start.rate.fixedMillis, maxMillis)});
}

json encode(const PrefillEnd &end)
{
    return json::array({Tag::End, end.number, end.engine, end.wasPrefilled});
}

PrefillQuery decodeQuery(CborArrayReader &message)
{
    PrefillQuery query;
    query.number = message.number();
    query.chain = decodeChain(message);
    CborArrayReader engines(message.list(PrefillMessageLimits::engines));
    while (engines.isValid() && !engines.isFullyRead())
        query.engines.push_back(engines.number());
    if (!engines.isValid())
        message.fail();
    return query;
}

PrefillReply decodeReply(CborArrayReader &message)
{
    PrefillReply reply;
    reply.number = message.number();
    CborArrayReader estimates(message.list(elementsPerEstimate * PrefillMessageLimits::engines));
    while (estimates.isValid() && !estimates.isFullyRead()) {
        PrefillEstimate estimate;
        estimate.waitMillis = static_cast<double>(estimates.number(maxMillis));
        estimate.freshTokens = static_cast<double>(estimates.number(maxTokens));
        estimate.heldTokens = static_cast<double>(estimates.number(maxTokens));
        estimate.knowsParts = estimates.boolean();
        estimate.isComplete = estimates.boolean();
        reply.estimates.push_back(estimate);
    }
    if (!estimates.isValid())
        message.fail();
    return reply;
}

PrefillStart decodeStart(CborArrayReader &message)
{
    PrefillStart start;
    start.number = message.number();
    start.engine = message.number();
    start.chain = decodeChain(message);
    start.freshTokens = static_cast<double>(message.number(maxTokens));
    start.rate.tokensPerMilli = static_cast<double>(message.number(maxRate)) / rateUnit;
    start.rate.fixedMillis = static_cast<double>(message.number(maxMillis));
    return start;
}

PrefillEnd decodeEnd(CborArrayReader &message)
{
    PrefillEnd end;
    end.number = message.number();
    end.engine = message.number();
    end.wasPrefilled = message.boolean();
    return end;
}

std::optional<PrefillMessage> decodeMessage(CborArrayReader &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Query:
        return decodeQuery(message);
    case Tag::Reply:
        return decodeReply(message);
    case Tag::Start:
        return decodeStart(message);
    case Tag::End:
        return decodeEnd(message);
    }
    return std::nullopt;
}

} // namespace

std::string encodePrefillMessage(const PrefillMessage &message)
{
    return encodeCbor(std::visit([](const auto &each) { return encode(each); }, message));
}

std::optional<PrefillMessage> decodePrefillMessage(const std::string &frame)
{
    return decodeFrame(frame, decodeMessage);
}

} // namespace cuminrail
