#pragma once

#include "core/time/Millis.h"

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace cuminrail {
namespace detail {

/** A mistake in a line; its text is the reason that the reader reports. */
class StatementError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Takes the words of one statement one after the other, each as what it has to be. */
class StatementReader
{
public:
    explicit StatementReader(const std::string &line);

    bool isAtEnd() const { return next_ == words_.size(); }
    /** Returns the next word; an error says that @c what is missing. */
    std::string word(const std::string &what);
    /** Takes the next word if it is this one. */
    bool accept(const std::string &expected);
    /** Fails unless the next word is this one. */
    void require(const std::string &expected);
    /** Returns a span: "300ms", "20s", "5m". */
    Millis span(const std::string &what);
    /** Returns a whole number from 0. */
    std::uint64_t number(const std::string &what);
    bool yesOrNo(const std::string &what);
    /** Fails if words are left. */
    void finish() const;

private:
    std::vector<std::string> words_;
    std::size_t next_ = 0;
};

} // namespace detail
} // namespace cuminrail
