#pragma once

#include "core/names/NameTable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminrail {

enum class EventLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr NameTable<EventLevel, 4> eventLevelNames{{{
    {EventLevel::Debug, "debug"},
    {EventLevel::Info, "info"},
    {EventLevel::Warning, "warning"},
    {EventLevel::Error, "error"},
}}};

/** A numbered kind of event: what an operator looks up in docs/EVENTS.md. */
struct EventKind
{
    int number;
    EventLevel level;
    std::string_view name;
    std::string_view meaning;
};

/** Something that happened, with the values that tell one occurrence from another. */
struct Event
{
    const EventKind *kind;
    std::vector<std::pair<std::string, std::string>> fields;
};

/**
    Where modules report events. Never null in a running module; use ignoreEvents() for none.

    Fields never hold caller keys, prompts or answers.
*/
using EventSink = std::function<void(const Event &)>;

/** Returns a sink that drops what it gets. */
inline EventSink ignoreEvents()
{
    return [](const Event &) {};
}

} // namespace cuminrail
