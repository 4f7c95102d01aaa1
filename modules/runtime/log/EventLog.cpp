#include "runtime/log/EventLog.h"

#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.h>

#include <array>
#include <ctime>

namespace cuminrail {

namespace {

bool needsQuotes(const std::string &text)
{
    if (text.empty())
        return true;
    for (const char c : text) {
        if (c == ' ' || c == '"' || c == '=' || c == '\\' || static_cast<unsigned char>(c) < 0x20)
            return true;
    }
    return false;
}

// A caller's text with a line feed in it would otherwise forge a second event.
std::string quoted(const std::string &text)
{
    static const char *const hex = "0123456789abcdef";
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < 0x20) {
            out += "\\x";
            out += hex[byte >> 4];
            out += hex[byte & 15];
        } else {
            out += c;
        }
    }
    return out + "\"";
}

std::string timestamp()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    std::array<char, 32> text{};
    const auto used = strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string out(text.data(), used);
    const std::string millis = std::to_string(now.tv_nsec / 1000000 + 1000);
    return out + "." + millis.substr(1) + "Z";
}

void configureOnce()
{
    static const bool done = [] {
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::Format, "%msg");
        configuration.setGlobally(el::ConfigurationType::ToFile, "false");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
        el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
        el::Loggers::reconfigureAllLoggers(configuration);
        return true;
    }();
    static_cast<void>(done);
}

} // namespace

EventLog::EventLog(EventLevel lowest, std::string instance)
    : lowest_(lowest), instance_(std::move(instance))
{
    configureOnce();
}

std::string EventLog::format(const Event &event, const std::string &instance)
{
    std::string line = "level=";
    line += eventLevelNames.name(event.kind->level);
    line += " event=" + std::to_string(event.kind->number) + " name=";
    line += event.kind->name;
    if (!instance.empty())
        line += " instance=" + (needsQuotes(instance) ? quoted(instance) : instance);
    for (const auto &[key, value] : event.fields)
        line += " " + key + "=" + (needsQuotes(value) ? quoted(value) : value);
    return line;
}

void EventLog::write(const Event &event) const
{
    if (event.kind->level < lowest_)
        return;
    const std::string line = "ts=" + timestamp() + " " + format(event, instance_);
    switch (event.kind->level) {
    case EventLevel::Debug:
    case EventLevel::Info:
        LOG(INFO) << line;
        break;
    case EventLevel::Warning:
        LOG(WARNING) << line;
        break;
    case EventLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

EventSink EventLog::sink() const
{
    return [this](const Event &event) { write(event); };
}

} // namespace cuminrail
