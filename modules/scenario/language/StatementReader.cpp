#include "scenario/language/StatementReader.h"

#include <algorithm>
#include <sstream>

namespace cuminrail {
namespace detail {

namespace {

constexpr std::size_t maxDigits = 12;

bool isNumber(const std::string &text)
{
    return !text.empty() && text.size() <= maxDigits
        && std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c >= '0' && c <= '9'; });
}

} // namespace

StatementReader::StatementReader(const std::string &line)
{
    std::istringstream words(line.substr(0, line.find('#')));
    for (std::string word; words >> word;)
        words_.push_back(word);
}

std::string StatementReader::word(const std::string &what)
{
    if (isAtEnd())
        throw StatementError(what + " is missing");
    return words_[next_++];
}

bool StatementReader::accept(const std::string &expected)
{
    if (isAtEnd() || words_[next_] != expected)
        return false;
    ++next_;
    return true;
}

void StatementReader::require(const std::string &expected)
{
    if (accept(expected))
        return;
    const std::string found = isAtEnd() ? "the end of the line" : "'" + words_[next_] + "'";
    throw StatementError("expected '" + expected + "', found " + found);
}

Millis StatementReader::span(const std::string &what)
{
    const std::string text = word(what);
    const std::size_t unitAt = text.find_first_not_of("0123456789");
    const std::string digits = text.substr(0, unitAt);
    const std::string unit = unitAt == std::string::npos ? "" : text.substr(unitAt);
    if (!isNumber(digits) || (unit != "ms" && unit != "s" && unit != "m"))
        throw StatementError("'" + text + "' is no span for " + what + "; write 300ms, 20s or 5m");
    const Millis count(std::stoll(digits));
    if (unit == "m")
        return count * 60000;
    return unit == "s" ? count * 1000 : count;
}

std::uint64_t StatementReader::number(const std::string &what)
{
    const std::string text = word(what);
    if (!isNumber(text))
        throw StatementError("'" + text + "' is no number for " + what);
    return std::stoull(text);
}

bool StatementReader::yesOrNo(const std::string &what)
{
    const std::string text = word(what);
    if (text != "yes" && text != "no")
        throw StatementError("'" + text + "' for " + what + " is neither yes nor no");
    return text == "yes";
}

void StatementReader::finish() const
{
    if (!isAtEnd())
        throw StatementError("'" + words_[next_] + "' is one word too many");
}

} // namespace detail
} // namespace cuminrail
