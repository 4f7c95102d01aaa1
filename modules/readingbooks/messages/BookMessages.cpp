#include "readingbooks/messages/BookMessages.h"

#include "membership/messages/CborArray.h"

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

using nlohmann::json;

/** The first element of each frame: format and kind. Another format is refused whole. */
enum class Tag : std::uint8_t { Question = 0x11, Answer = 0x12, Entry = 0x13, End = 0x14 };

/** Fractions are not needed; rates have two digits after the point. */
constexpr std::size_t elementsEachOffer = 5;
constexpr double rateUnit = 100;
constexpr std::uint64_t mostMillis = 1'000'000;
constexpr std::uint64_t mostTokens = 100'000'000;
constexpr std::uint64_t mostRate = 1'000'000;

std::uint64_t whole(double value, std::uint64_t most)
{
    return static_cast<std::uint64_t>(std::clamp(std::round(value), 0.0, double(most)));
}

json chainJson(const PromptChain &chain)
{
    json links = json::array();
    for (std::size_t i = 0; i < std::min(chain.links.size(), BookMessageLimits::links); ++i) {
        links.push_back(chain.links[i].key);
        links.push_back(chain.links[i].tokens);
    }
    return links;
}

PromptChain takeChain(CborArray &message)
{
    PromptChain chain;
    chain.tokens = static_cast<std::uint32_t>(message.number(mostTokens));
    CborArray links(message.list(2 * BookMessageLimits::links));
    while (links.isGood() && !links.isWhole()) {
        const std::uint64_t key = links.number();
        const auto tokens = static_cast<std::uint32_t>(links.number(mostTokens));
        chain.links.push_back({key, tokens});
    }
    if (!links.isGood())
        message.fail();
    return chain;
}

json encode(const BookQuestion &question)
{
    return json::array({Tag::Question, question.number, question.chain.tokens,
                        chainJson(question.chain), question.engines});
}

json encode(const BookAnswer &answer)
{
    json offers = json::array();
    for (const ReadingOffer &offer : answer.offers) {
        offers.push_back(whole(offer.waitMillis, mostMillis));
        offers.push_back(whole(offer.freshTokens, mostTokens));
        offers.push_back(whole(offer.heldTokens, mostTokens));
        offers.push_back(offer.knowsParts);
        offers.push_back(offer.isComplete);
    }
    return json::array({Tag::Answer, answer.number, std::move(offers)});
}

json encode(const BookEntry &entry)
{
    return json::array({Tag::Entry, entry.number, entry.engine, entry.chain.tokens,
                        chainJson(entry.chain), whole(entry.freshTokens, mostTokens),
                        whole(entry.pace.tokensPerMilli * rateUnit, mostRate),
                        whole(entry.pace.fixedMillis, mostMillis)});
}

json encode(const BookEnd &end)
{
    return json::array({Tag::End, end.number, end.engine, end.wasRead});
}

BookQuestion takeQuestion(CborArray &message)
{
    BookQuestion question;
    question.number = message.number();
    question.chain = takeChain(message);
    CborArray engines(message.list(BookMessageLimits::engines));
    while (engines.isGood() && !engines.isWhole())
        question.engines.push_back(engines.number());
    if (!engines.isGood())
        message.fail();
    return question;
}

BookAnswer takeAnswer(CborArray &message)
{
    BookAnswer answer;
    answer.number = message.number();
    CborArray offers(message.list(elementsEachOffer * BookMessageLimits::engines));
    while (offers.isGood() && !offers.isWhole()) {
        ReadingOffer offer;
        offer.waitMillis = static_cast<double>(offers.number(mostMillis));
        offer.freshTokens = static_cast<double>(offers.number(mostTokens));
        offer.heldTokens = static_cast<double>(offers.number(mostTokens));
        offer.knowsParts = offers.boolean();
        offer.isComplete = offers.boolean();
        answer.offers.push_back(offer);
    }
    if (!offers.isGood())
        message.fail();
    return answer;
}

BookEntry takeEntry(CborArray &message)
{
    BookEntry entry;
    entry.number = message.number();
    entry.engine = message.number();
    entry.chain = takeChain(message);
    entry.freshTokens = static_cast<double>(message.number(mostTokens));
    entry.pace.tokensPerMilli = static_cast<double>(message.number(mostRate)) / rateUnit;
    entry.pace.fixedMillis = static_cast<double>(message.number(mostMillis));
    return entry;
}

BookEnd takeEnd(CborArray &message)
{
    BookEnd end;
    end.number = message.number();
    end.engine = message.number();
    end.wasRead = message.boolean();
    return end;
}

std::optional<BookMessage> take(CborArray &message)
{
    switch (static_cast<Tag>(message.number(0xff))) {
    case Tag::Question:
        return takeQuestion(message);
    case Tag::Answer:
        return takeAnswer(message);
    case Tag::Entry:
        return takeEntry(message);
    case Tag::End:
        return takeEnd(message);
    }
    return std::nullopt;
}

} // namespace

std::string encodeBookMessage(const BookMessage &message)
{
    return encodeCbor(std::visit([](const auto &each) { return encode(each); }, message));
}

std::optional<BookMessage> decodeBookMessage(const std::string &frame)
{
    return decodeFrame(frame, take);
}

} // namespace cuminrail
