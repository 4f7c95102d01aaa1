#include "instance/config/InstanceFlags.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cuminrail;

namespace {

using Environment = std::map<std::string, std::string>;

FlagsResult parseFlags(std::vector<const char *> arguments, const Environment &environment = {})
{
    arguments.insert(arguments.begin(), "cuminraild");
    return readInstanceFlags(static_cast<int>(arguments.size()), arguments.data(),
                             [&](const std::string &name) -> std::optional<std::string> {
                                 const auto found = environment.find(name);
                                 if (found == environment.end())
                                     return std::nullopt;
                                 return found->second;
                             });
}

} // namespace

TEST_CASE("flags take precedence over the environment, and both over defaults")
{
    const FlagsResult result = parseFlags({"--platform=10.0.0.1:80", "--threads=3"},
                                          {{"CUMINRAIL_THREADS", "5"},
                                           {"CUMINRAIL_DRAIN_LAG_MS", "70"},
                                           {"CUMINRAIL_PEERS", "10.0.0.2:1,10.0.0.3:2"}});
    REQUIRE(result.mistakes.empty());
    CHECK(result.config.threads == 3);
    CHECK(result.config.drainLag == Millis(70));
    CHECK(result.config.drainLimit == Millis::minutes(10));
    CHECK(result.config.peers == std::vector<std::string>{"10.0.0.2:1", "10.0.0.3:2"});
    CHECK(result.config.platform == "10.0.0.1:80");
}

// Guards against a mistyped value being replaced by the default: the instance would run for weeks
// before anybody noticed, for example, that it listens on another address.
TEST_CASE("each invalid flag is reported by name")
{
    struct Row
    {
        std::vector<const char *> flags;
        const char *where;
    };
    const Row rows[] = {
        {{"--listen=8080"}, "--listen"},
        {{"--listen=localhost:80"}, "--listen"},
        {{"--listen=1.2.3.4:70000"}, "--listen"},
        {{"--listen=1.2.3.4:"}, "--listen"},
        {{"--admin-listen=1.2.3:80"}, "--admin-listen"},
        {{"--peer-listen=:80"}, "--peer-listen"},
        {{"--instance-id="}, "--instance-id"},
        {{"--instance-id=a b"}, "--instance-id"},
        {{"--failure-domain=a/b"}, "--failure-domain"},
        {{"--region=a:b"}, "--region"},
        {{"--platform=somewhere"}, "--platform"},
        {{"--platform=1.2.3.4:0"}, "--platform"},
        {{"--peers=1.2.3.4:5,x"}, "--peers"},
        {{"--threads=0"}, "--threads"},
        {{"--threads=65"}, "--threads"},
        {{"--threads=two"}, "--threads"},
        {{"--threads=2x"}, "--threads"},
        {{"--threads= 2"}, "--threads"},
        {{"--log-level=loud"}, "--log-level"},
        {{"--drain-lag-ms=-1"}, "--drain-lag-ms"},
        {{"--drain-limit-ms=1.5"}, "--drain-limit-ms"},
        {{"--drain-limit-ms=99999999999999999999"}, "--drain-limit-ms"},
        {{"--max-body-bytes=0"}, "--max-body-bytes"},
        {{"--max-connections="}, "--max-connections"},
        {{"--staleness-limit-ms=1"}, "--staleness-limit-ms"},
        {{"--tls-cert=c.pem"}, "--tls-cert"},
        {{"--tls-key=k.pem"}, "--tls-cert"},
        {{"--settings-dir=x"}, "--settings-dir"},
        {{"--threads=1", "--threads=2"}, "--threads"},
        {{"--no-such-flag=1"}, "command line"},
        {{"stray"}, "stray"},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.flags[0]));
        std::vector<const char *> flags = row.flags;
        if (std::string(flags[0]).rfind("--platform", 0) != 0)
            flags.push_back("--platform=1.2.3.4:5");
        const FlagsResult result = parseFlags(flags);
        REQUIRE(result.mistakes.size() == 1);
        CHECK(result.mistakes[0].where == row.where);
        CHECK_FALSE(result.mistakes[0].what.empty());
    }
}

TEST_CASE("all errors are reported, those in the environment with their variable")
{
    const FlagsResult result =
        parseFlags({"--threads=0"}, {{"CUMINRAIL_LOG_LEVEL", "loud"}, {"CUMINRAIL_LISTEN", "x"}});
    std::vector<std::string> sources;
    for (const Reason &mistake : result.mistakes)
        sources.push_back(mistake.where);
    CHECK(sources
          == std::vector<std::string>{"CUMINRAIL_LISTEN", "--threads", "CUMINRAIL_LOG_LEVEL",
                                      "--platform"});
}

TEST_CASE("the help lists every flag and variable")
{
    CHECK(parseFlags({"--help"}).wantsHelp);
    const std::string help = instanceHelp();
    for (const InstanceFlag &flag : instanceFlags()) {
        CAPTURE(flag.name);
        CHECK(help.find("--" + flag.name) != std::string::npos);
        CHECK(help.find(flag.environmentName()) != std::string::npos);
    }
}

TEST_CASE("the defaults of the flags equal those of InstanceConfig")
{
    const InstanceConfig builtIn;
    const InstanceConfig fromDefaults = parseFlags({"--platform=1.2.3.4:5"}).config;
    CHECK(fromDefaults.drainLag == builtIn.drainLag);
    CHECK(fromDefaults.maxBodyBytes == builtIn.maxBodyBytes);
    CHECK(fromDefaults.firstByteTimeout == builtIn.firstByteTimeout);
    CHECK(fromDefaults.stalenessLimit == builtIn.stalenessLimit);
    CHECK(fromDefaults.threads == builtIn.threads);
}

// Guards against an outdated page: an operator would read an old default there if the flag were
// changed in the code only.
TEST_CASE("docs/SETTINGS.md lists exactly the flags of the code")
{
    std::ifstream page("docs/SETTINGS.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("| `--", 0) == 0)
            rows.push_back(line);
    }
    std::vector<std::string> expected;
    for (const InstanceFlag &flag : instanceFlags())
        expected.push_back(flag.toMarkdown());
    CHECK(rows == expected);
}
