#include "instance/config/InstanceFlags.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cuminrail;

namespace {

using Environment = std::map<std::string, std::string>;

FlagsResult read(std::vector<const char *> arguments, const Environment &environment = {})
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

TEST_CASE("flags come before the environment, and both before defaults")
{
    const FlagsResult result = read({"--platform=10.0.0.1:80", "--threads=3"},
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

// An operator mistypes a value. Started with a default in its place, the instance would run for
// weeks before anybody notices that it listens somewhere else.
TEST_CASE("each mistake in flags is named")
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
        const FlagsResult result = read(flags);
        REQUIRE(result.mistakes.size() == 1);
        CHECK(result.mistakes[0].where == row.where);
        CHECK_FALSE(result.mistakes[0].what.empty());
    }
}

TEST_CASE("mistakes in the environment name the variable, and all are listed")
{
    const FlagsResult result =
        read({"--threads=0"}, {{"CUMINRAIL_LOG_LEVEL", "loud"}, {"CUMINRAIL_LISTEN", "x"}});
    std::vector<std::string> places;
    for (const Reason &mistake : result.mistakes)
        places.push_back(mistake.where);
    CHECK(places
          == std::vector<std::string>{"CUMINRAIL_LISTEN", "--threads", "CUMINRAIL_LOG_LEVEL",
                                      "--platform"});
}

TEST_CASE("help names every flag and variable")
{
    CHECK(read({"--help"}).wantsHelp);
    const std::string help = instanceHelp();
    for (const InstanceFlag &flag : instanceFlags()) {
        CAPTURE(flag.name);
        CHECK(help.find("--" + flag.name) != std::string::npos);
        CHECK(help.find(flag.environmentName()) != std::string::npos);
    }
}

TEST_CASE("each default is what an instance has without the flag")
{
    const InstanceConfig untouched;
    const InstanceConfig fromDefaults = read({"--platform=1.2.3.4:5"}).config;
    CHECK(fromDefaults.drainLag == untouched.drainLag);
    CHECK(fromDefaults.maxBodyBytes == untouched.maxBodyBytes);
    CHECK(fromDefaults.firstByteTimeout == untouched.firstByteTimeout);
    CHECK(fromDefaults.stalenessLimit == untouched.stalenessLimit);
    CHECK(fromDefaults.threads == untouched.threads);
}

// An operator looks a flag up and finds an old default, because the page was not changed with the
// code.
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
