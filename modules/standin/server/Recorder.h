#pragma once

#include "core/names/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail::standin {

/** How a stand-in left a request. */
enum class Ending : std::uint8_t {
    /** Still being handled, or stalled for good. */
    Open,
    Answered,
    /** The connection was closed before the answer was whole. */
    Cut,
    Reset,
    Stalled,
    /** The caller closed the connection first. */
    CallerLeft,
};

inline constexpr NameTable<Ending, 6> endingNames{{{
    {Ending::Open, "open"},
    {Ending::Answered, "answered"},
    {Ending::Cut, "cut"},
    {Ending::Reset, "reset"},
    {Ending::Stalled, "stalled"},
    {Ending::CallerLeft, "caller-left"},
}}};

/** A request as it really arrived, and what became of it. */
struct Record
{
    std::size_t number = 0;
    std::int64_t atMs = 0;
    std::uint64_t connection = 0;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string bodySha256;
    /** Status of the answer that was made, sent or not; 0 for none. */
    unsigned status = 0;
    Ending ending = Ending::Open;
    /** The request took effect. */
    bool ran = false;
    /** What the stand-in found remarkable: "conflict", "stale-fence", "superseded" … */
    std::string note;

    /** Returns a header's value, or an empty string; @p name in lower case. */
    std::string header(const std::string &name) const;
};

/** Keeps what arrived, in order. Not thread-safe: used on the server's thread alone. */
class Recorder
{
public:
    /** Recording can be switched off for benches that would otherwise measure it. */
    void setEnabled(bool enabled) { enabled_ = enabled; }

    /** Adds a record and gives it its number; returns a place that stays valid. */
    Record &add(Record record);

    const std::deque<Record> &records() const { return records_; }

    /** Returns `{"records": […]}`. */
    nlohmann::json toJson() const;

private:
    bool enabled_ = true;
    std::deque<Record> records_;
    Record scratch_;
};

/** Returns the lower-case hexadecimal SHA-256 of a text. */
std::string sha256Hex(const std::string &text);

} // namespace cuminrail::standin
