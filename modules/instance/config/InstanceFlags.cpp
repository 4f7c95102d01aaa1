#include "instance/config/InstanceFlags.h"

#include "runtime/address/Endpoint.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <charconv>

namespace cuminrail {

namespace {

using Setter = std::function<bool(const std::string &, InstanceConfig &, Reason *)>;

constexpr std::int64_t millisPerDay = 24LL * 60 * 60 * 1000;

std::optional<std::int64_t> parseInteger(const std::string &text, std::int64_t minimum,
                                         std::int64_t maximum, Reason *lastReason)
{
    std::int64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end && !text.empty();
    if (isNumber && value >= minimum && value <= maximum)
        return value;
    fail(lastReason, {},
         "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return std::nullopt;
}

std::optional<ListenAddress> parseAddress(const std::string &text, std::int64_t minimumPort,
                                          Reason *lastReason)
{
    const auto endpoint = parseEndpoint(text);
    if (endpoint && endpoint->port() >= minimumPort)
        return ListenAddress{endpoint->address().to_string(), endpoint->port()};
    fail(lastReason, {}, "must be an IP address and a port, such as 10.0.0.7:8080");
    return std::nullopt;
}

Setter listenSetter(ListenAddress InstanceConfig::*member)
{
    return [member](const std::string &text, InstanceConfig &config, Reason *lastReason) {
        const auto value = parseAddress(text, 0, lastReason);
        if (value)
            config.*member = *value;
        return value.has_value();
    };
}

Setter millisSetter(Millis InstanceConfig::*member, std::int64_t minimum)
{
    return [member, minimum](const std::string &text, InstanceConfig &config, Reason *lastReason) {
        const auto value = parseInteger(text, minimum, millisPerDay, lastReason);
        if (value)
            config.*member = Millis(*value);
        return value.has_value();
    };
}

template<typename Number>
Setter numberSetter(Number InstanceConfig::*member, std::int64_t minimum, std::int64_t maximum)
{
    return [=](const std::string &text, InstanceConfig &config, Reason *lastReason) {
        const auto value = parseInteger(text, minimum, maximum, lastReason);
        if (value)
            config.*member = static_cast<Number>(*value);
        return value.has_value();
    };
}

Setter textSetter(std::string InstanceConfig::*member)
{
    return [member](const std::string &text, InstanceConfig &config, Reason *) {
        config.*member = text;
        return true;
    };
}

template<typename IdType>
Setter idSetter(IdType InstanceConfig::*member)
{
    return [member](const std::string &text, InstanceConfig &config, Reason *lastReason) {
        const bool isValid = !text.empty() && text.size() <= 64
            && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                   return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
               });
        if (!isValid)
            return fail(lastReason, {}, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        config.*member = IdType(text);
        return true;
    };
}

bool setPlatform(const std::string &text, InstanceConfig &config, Reason *lastReason)
{
    // Stored even if invalid, so that it is not also reported as missing.
    config.platform = text;
    return text.empty() || parseAddress(text, 1, lastReason).has_value();
}

bool setPeers(const std::string &text, InstanceConfig &config, Reason *lastReason)
{
    config.peers.clear();
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        const std::string peer = text.substr(begin, end - begin);
        if (!parseAddress(peer, 1, lastReason))
            return false;
        config.peers.push_back(peer);
        begin = end + 1;
    }
    return true;
}

bool setLogLevel(const std::string &text, InstanceConfig &config, Reason *lastReason)
{
    const auto level = eventLevelNames.value(text);
    if (!level)
        return fail(lastReason, {}, "must be debug, info, warning or error");
    config.logLevel = *level;
    return true;
}

std::vector<InstanceFlag> addressFlags()
{
    using C = InstanceConfig;
    return {
        {"listen", "IP:PORT", "127.0.0.1:8080", "Where callers connect; port 0 takes any.",
         listenSetter(&C::listen)},
        {"admin-listen", "IP:PORT", "127.0.0.1:8081",
         "Where operators connect: /healthz, /readyz, /metrics, /state, /drain.",
         listenSetter(&C::adminListen)},
        {"peer-listen", "IP:PORT", "127.0.0.1:8082", "Where other instances connect.",
         listenSetter(&C::peerListen)},
        {"instance-id", "name", "instance", "This instance's name; unique in the system.",
         idSetter(&C::instanceId)},
        {"failure-domain", "name", "default", "The failure domain that this instance runs in.",
         idSetter(&C::failureDomain)},
        {"region", "name", "default", "The region of the failure domain.", idSetter(&C::region)},
        {"platform", "IP:PORT", "", "The platform's service; without it settings-dir is needed.",
         setPlatform},
        {"settings-dir", "directory", "",
         "Serves the settings in a directory, without a platform: for trials.",
         textSetter(&C::settingsDir)},
        {"peer-secret-file", "file", "",
         "Holds the secrets that instances know each other by, one a line, the newest first.",
         textSetter(&C::peerSecretFile)},
        {"peers", "IP:PORT,…", "", "Other instances to ask first; the platform lists the rest.",
         setPeers},
    };
}

std::vector<InstanceFlag> processFlags()
{
    using C = InstanceConfig;
    return {
        {"threads", "count", "2", "Request threads, besides the control thread.",
         numberSetter(&C::threads, 1, 64)},
        {"log-level", "level", "info", "The lowest level that is logged.", setLogLevel},
        {"tls-cert", "file", "", "Certificate chain (PEM) for callers; read again when it changes.",
         textSetter(&C::tlsCertificate)},
        {"tls-key", "file", "", "The certificate's private key (PEM).", textSetter(&C::tlsKey)},
        {"drain-lag-ms", "milliseconds", "5000",
         "How long a stopping instance goes on accepting, until the balancer has noticed.",
         millisSetter(&C::drainLag, 0)},
        {"drain-limit-ms", "milliseconds", "600000",
         "The most that a stopping instance waits for requests in progress.",
         millisSetter(&C::drainLimit, 0)},
        {"staleness-limit-ms", "milliseconds", "5000",
         "Refuses requests after this long without knowing which keys are withdrawn.",
         millisSetter(&C::stalenessLimit, 1000)},
    };
}

std::vector<InstanceFlag> limitFlags()
{
    using C = InstanceConfig;
    return {
        {"max-body-bytes", "bytes", "8388608", "The largest request body.",
         numberSetter(&C::maxBodyBytes, 1024, 1LL << 30)},
        {"max-all-body-bytes", "bytes", "268435456",
         "All request bodies in progress together. Three times as much may be held for heads, "
         "bodies, "
         "their copies for upstreams and unsent responses.",
         numberSetter(&C::maxAllBodyBytes, 1024, 1LL << 40)},
        {"max-head-bytes", "bytes", "16384", "The largest request head.",
         numberSetter(&C::maxHeadBytes, 1024, 1 << 20)},
        {"max-connections", "count", "10000", "Callers' connections open at once.",
         numberSetter(&C::maxConnections, 1, 1000000)},
        {"head-timeout-ms", "milliseconds", "10000",
         "From a request's first byte to its head's end.", millisSetter(&C::headTimeout, 10)},
        {"body-stall-timeout-ms", "milliseconds", "10000", "Without a further byte of a body.",
         millisSetter(&C::bodyStallTimeout, 10)},
        {"idle-timeout-ms", "milliseconds", "75000", "Between two requests on a connection.",
         millisSetter(&C::idleTimeout, 10)},
        {"write-stall-timeout-ms", "milliseconds", "30000",
         "Without the caller taking a byte of its answer.",
         millisSetter(&C::writeStallTimeout, 10)},
        {"connect-timeout-ms", "milliseconds", "1000", "For a connection to an upstream.",
         millisSetter(&C::connectTimeout, 10)},
        {"first-byte-timeout-ms", "milliseconds", "60000",
         "From a completion's sending to the first byte of its answer.",
         millisSetter(&C::firstByteTimeout, 10)},
        {"upstream-stall-timeout-ms", "milliseconds", "10000",
         "Without a byte while sending to an upstream, or within its answer.",
         millisSetter(&C::upstreamStallTimeout, 10)},
        {"deadline-tick-ms", "milliseconds", "20", "How finely timeouts are noticed.",
         millisSetter(&C::deadlineTick, 1)},
    };
}

cxxopts::Options makeOptionParser()
{
    cxxopts::Options result("cuminraild", "One instance of cuminrail.");
    auto add = result.add_options();
    for (const InstanceFlag &flag : instanceFlags()) {
        std::string meaning = flag.meaning + " [" + flag.environmentName() + "]";
        if (!flag.defaultText.empty())
            meaning += " (default " + flag.defaultText + ")";
        add(flag.name, meaning, cxxopts::value<std::string>(), flag.type);
    }
    add("help", "Prints this page.");
    return result;
}

void checkCombinations(FlagsResult &result)
{
    const InstanceConfig &config = result.config;
    if (config.tlsCertificate.empty() != config.tlsKey.empty())
        result.mistakes.push_back({"--tls-cert", "requires --tls-key, and vice versa"});
    if (config.platform.empty() && config.settingsDir.empty())
        result.mistakes.push_back(
            {"--platform", "is required unless --settings-dir is given for a trial"});
    if (!config.platform.empty() && !config.settingsDir.empty())
        result.mistakes.push_back({"--settings-dir", "cannot be used together with --platform"});
}

} // namespace

std::string InstanceFlag::environmentName() const
{
    std::string result = "CUMINRAIL_";
    for (const char c : name)
        result += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return result;
}

std::string InstanceFlag::toMarkdown() const
{
    const std::string defaultCell = defaultText.empty() ? "" : "`" + defaultText + "`";
    return "| `--" + name + "` | `" + environmentName() + "` | " + type + " | " + defaultCell
        + " | " + meaning + " |";
}

const std::vector<InstanceFlag> &instanceFlags()
{
    static const std::vector<InstanceFlag> flags = [] {
        std::vector<InstanceFlag> allFlags = addressFlags();
        for (const auto &group : {processFlags(), limitFlags()})
            allFlags.insert(allFlags.end(), group.begin(), group.end());
        return allFlags;
    }();
    return flags;
}

FlagsResult readInstanceFlags(int argc, const char *const *argv, const EnvironmentHook &environment)
{
    FlagsResult result;
    std::map<std::string, std::string> commandLine;
    try {
        cxxopts::Options parser = makeOptionParser();
        const auto parsed = parser.parse(argc, argv);
        result.wantsHelp = parsed.count("help") > 0;
        for (const auto &entry : parsed.arguments()) {
            if (!commandLine.emplace(entry.key(), entry.value()).second)
                result.mistakes.push_back({"--" + entry.key(), "is given more than once"});
        }
        for (const std::string &argument : parsed.unmatched())
            result.mistakes.push_back({argument, "is not a known flag"});
    } catch (const std::exception &error) {
        result.mistakes.push_back({"command line", error.what()});
        return result;
    }
    for (const InstanceFlag &flag : instanceFlags()) {
        const auto found = commandLine.find(flag.name);
        std::string source = "--" + flag.name;
        std::optional<std::string> text;
        if (found != commandLine.end()) {
            text = found->second;
        } else if ((text = environment(flag.environmentName()))) {
            source = flag.environmentName();
        }
        Reason reason;
        if (!flag.set(text.value_or(flag.defaultText), result.config, &reason))
            result.mistakes.push_back({source, reason.what});
    }
    checkCombinations(result);
    return result;
}

std::string instanceHelp()
{
    return makeOptionParser().help();
}

} // namespace cuminrail
