#include "runtime/log/JsonLine.h"

#include <array>
#include <ctime>

namespace cuminrail {

namespace {

void appendQuoted(std::string &line, std::string_view text)
{
    static constexpr std::string_view hex = "0123456789abcdef";
    line += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < 0x20 || byte >= 0x7f) {
            line += "\\u00";
            line += hex[byte >> 4];
            line += hex[byte & 15];
        } else {
            line += c;
        }
    }
    line += '"';
}

void appendField(std::string &line, std::string_view name, std::string_view value)
{
    line += ',';
    appendQuoted(line, name);
    line += ':';
    appendQuoted(line, value);
}

} // namespace

std::string utcText(std::int64_t wallMillis)
{
    const std::time_t seconds = wallMillis / 1000;
    tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const auto used = strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string millis = std::to_string(1000 + wallMillis % 1000);
    return std::string(text.data(), used) + "." + millis.substr(1) + "Z";
}

std::string jsonLine(const Event &event, const std::string &instance, std::int64_t wallMillis)
{
    std::string line = "{\"ts\":\"" + utcText(wallMillis) + "\"";
    appendField(line, "instance", instance);
    line += ",\"event\":" + std::to_string(event.kind->number);
    appendField(line, "name", event.kind->name);
    appendField(line, "level", eventLevelNames.name(event.kind->level));
    for (const auto &[name, value] : event.fields)
        appendField(line, name, value);
    return line + "}";
}

} // namespace cuminrail
