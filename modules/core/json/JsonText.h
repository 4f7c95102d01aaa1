#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace cuminrail {

/** A member of an object, or an element of an array, as the text that it has there. */
struct JsonSlice
{
    /** Between its quotes, with escapes as they are; empty for an element. */
    std::string_view name;
    std::string_view value;
};

/**
    Returns how deep arrays and objects are nested in a text, without parsing it.

    Values are read, written and compared by recursion, so that a text of brackets alone could end
    the process.
*/
std::size_t jsonDepth(std::string_view text);

/**
    Splits the text of an object or an array into its members or elements, without parsing them.

    A parser rejects a text for any part of it: a number out of range, half of a surrogate pair, a
    control character. Split, the other parts can still be read.

    @returns nothing if the text has no such form, or ends before its last bracket
*/
std::optional<std::vector<JsonSlice>> splitJson(std::string_view text);

} // namespace cuminrail
