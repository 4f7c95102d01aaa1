#include "runtime/address/Endpoint.h"
#include "standin/standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <sstream>

namespace {

using namespace cuminrail;
using namespace cuminrail::standin;
using boost::asio::ip::tcp;

constexpr int usageError = 2;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, ','))
        parts.push_back(part);
    return parts;
}

/** Runs a stand-in until SIGTERM or SIGINT. */
template<typename Standin, typename Options>
int serve(const tcp::endpoint &endpoint, const Options &options)
{
    boost::asio::io_context context(1);
    Standin standin(context, endpoint, options);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    std::cout << "listening " << standin.server().endpoint() << std::endl;
    context.run();
    return 0;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("cuminrail-standin",
                             "Stand-ins for what cuminrail talks to, for tests and the demo.\n"
                             "  cuminrail-standin platform|engine|service [flags]");
    auto add = options.add_options();
    add("kind", "platform, engine or service", cxxopts::value<std::string>());
    add("listen", "address and port; port 0 for a free one",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("no-records", "keep no records (for benches)");
    add("models", "engine: models it has, as model@version,…",
        cxxopts::value<std::string>()->default_value("demo@1"));
    add("role", "engine: mixed, prefill, decode or none",
        cxxopts::value<std::string>()->default_value("mixed"));
    add("checks-fence", "engine: refuses orders with a lower fence than it has seen");
    add("token-ms", "engine: ms between output tokens",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("role-change-ms", "engine: ms that a role change takes",
        cxxopts::value<std::uint32_t>()->default_value("200"));
    add("load-ms", "engine: ms that loading a model takes",
        cxxopts::value<std::uint32_t>()->default_value("200"));
    add("slots", "engine: requests that run at once",
        cxxopts::value<std::uint32_t>()->default_value("256"));
    add("load-lag-ms", "engine: age of the reported load",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("cache-tokens", "engine: tokens that its prefix cache holds",
        cxxopts::value<std::uint64_t>()->default_value("1048576"));
    add("cache-lag-ms", "engine: how late cache events are seen",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("cache-gap-every", "engine: every Nth cache event is lost, 0 for none",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("work-ms", "service: ms that a call takes",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("weight-bytes-per-second", "platform: rate of the weight store",
        cxxopts::value<double>()->default_value("1e9"));
    add("help", "print this");
    options.parse_positional({"kind"});
    options.positional_help("platform|engine|service");
    return options;
}

int serveEngine(const tcp::endpoint &endpoint, const cxxopts::ParseResult &flags)
{
    EngineOptions options;
    const auto role = engineRoleNames.value(flags["role"].as<std::string>());
    if (!role) {
        std::cerr << "--role: must be mixed, prefill, decode or none\n";
        return usageError;
    }
    options.role = *role;
    options.models = splitList(flags["models"].as<std::string>());
    options.checksFence = flags.count("checks-fence") > 0;
    options.tokenMs = flags["token-ms"].as<std::uint32_t>();
    options.roleChangeMs = flags["role-change-ms"].as<std::uint32_t>();
    options.loadMs = flags["load-ms"].as<std::uint32_t>();
    options.slots = flags["slots"].as<std::uint32_t>();
    options.loadLagMs = flags["load-lag-ms"].as<std::uint32_t>();
    options.cache.maxTokens = flags["cache-tokens"].as<std::uint64_t>();
    options.cache.lagMs = flags["cache-lag-ms"].as<std::uint32_t>();
    options.cache.gapEvery = flags["cache-gap-every"].as<std::uint32_t>();
    options.keepsRecords = flags.count("no-records") == 0;
    if (options.slots == 0) {
        std::cerr << "--slots: must be at least 1\n";
        return usageError;
    }
    return serve<StandinEngine>(endpoint, options);
}

int serveKind(const std::string &kind, const tcp::endpoint &endpoint,
              const cxxopts::ParseResult &flags)
{
    const bool keepsRecords = flags.count("no-records") == 0;
    if (kind == "platform")
        return serve<StandinPlatform>(
            endpoint, PlatformOptions{flags["weight-bytes-per-second"].as<double>(), keepsRecords});
    if (kind == "engine")
        return serveEngine(endpoint, flags);
    if (kind == "service")
        return serve<StandinService>(
            endpoint, ServiceOptions{flags["work-ms"].as<std::uint32_t>(), keepsRecords});
    std::cerr << "unknown stand-in '" << kind << "': must be platform, engine or service\n";
    return usageError;
}

int runProgram(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (flags.count("kind") == 0) {
        std::cerr << "which stand-in? platform, engine or service\n";
        return usageError;
    }
    const auto endpoint = parseEndpoint(flags["listen"].as<std::string>());
    if (!endpoint) {
        std::cerr << "--listen: must be ADDRESS:PORT\n";
        return usageError;
    }
    return serveKind(flags["kind"].as<std::string>(), *endpoint, flags);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << '\n';
        return usageError;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
