#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace cuminrail {

/**
    The text names of an enumeration's values, for settings, logs, JSON and metrics.

    @code
    inline constexpr NameTable<Colour, 2> colourNames{{{{Colour::Red, "red"}, …}}};
    colourNames.name(Colour::Red);   // "red"
    colourNames.value("red");        // Colour::Red
    @endcode
*/
template<typename Enum, std::size_t Size>
struct NameTable
{
    std::array<std::pair<Enum, std::string_view>, Size> entries;

    /** Returns the name of a value, or "unknown" for one that is not in the table. */
    constexpr std::string_view name(Enum value) const
    {
        for (const auto &entry : entries) {
            if (entry.first == value)
                return entry.second;
        }
        return "unknown";
    }

    /** Returns the value with this name, or nothing. */
    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const auto &entry : entries) {
            if (entry.second == name)
                return entry.first;
        }
        return std::nullopt;
    }
};

} // namespace cuminrail
