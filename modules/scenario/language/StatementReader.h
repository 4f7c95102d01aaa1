#pragma once

#include "core/time/Millis.h"

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace cuminrail {
namespace detail {

/** A syntax or name error in a statement; what() is the reason reported to the user. */
class StatementError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Reads the words of one statement in order and converts each to the expected type. */
class StatementReader
{
public:
    explicit StatementReader(const std::string &line);

    bool isAtEnd() const { return next_ == words_.size(); }
    /** Returns the next word; throws an error that names @c what when there is none. */
    std::string word(const std::string &what);
    /** Consumes the next word if it equals @c expected. */
    bool accept(const std::string &expected);
    /** Consumes the next word; throws unless it equals @c expected. */
    void require(const std::string &expected);
    /** Returns a duration: "300ms", "20s", "5m". */
    Millis span(const std::string &what);
    /** Returns a non-negative integer. */
    std::uint64_t number(const std::string &what);
    bool yesOrNo(const std::string &what);
    /** Throws if unread words remain. */
    void finish() const;

private:
    std::vector<std::string> words_;
    std::size_t next_ = 0;
};

} // namespace detail
} // namespace cuminrail
