#include "ctl/commands/CommandLine.h"

#include <doctest/doctest.h>

#include <map>

using namespace cuminrail;

namespace {

std::optional<CtlArguments> parse(std::vector<std::string> words, Reason *reason,
                                  const std::map<std::string, std::string> &environment = {})
{
    words.insert(words.begin(), "cuminrailctl");
    std::vector<const char *> argv;
    argv.reserve(words.size());
    for (const std::string &word : words)
        argv.push_back(word.c_str());
    return readCtlArguments(
        static_cast<int>(argv.size()), argv.data(),
        [&environment](const std::string &name) {
            const auto found = environment.find(name);
            return found == environment.end() ? std::nullopt : std::optional(found->second);
        },
        reason);
}

} // namespace

TEST_CASE("invalid command lines are refused with a reason")
{
    const std::string at = "--platform=127.0.0.1:9000";
    const std::vector<std::vector<std::string>> rows = {
        {},
        {at},
        {"aply", "dir", at},
        {"apply", at},
        {"apply", "one", "two", at},
        {"apply", "dir"},
        {"apply", "dir", "--platform", "here"},
        {"apply", "dir", "--platform", "127.0.0.1:0"},
        {"apply", "dir", "--platform", "127.0.0.1:70000"},
        {"apply", "dir", "--platform", "host:80"},
        {"apply", "dir", at, "--base", "many"},
        {"apply", "dir", at, "--format", "xml"},
        {"apply", "dir", at, "--odd"},
        {"get", at, "--dry-run"},
        {"diff", "dir", at, "--base", "1"},
        {"keys", at},
        {"keys", "steal", at},
        {"keys", "add", at, "--team", "north"},
        {"keys", "withdraw", at},
        {"keys", "withdraw", at, "--hash", "00", "--key-stdin"},
        {"drain"},
        {"drain", "instance-1"},
        {"state", "127.0.0.1"},
        {"status", at},
        {"status", at, "--admin", "here,there"},
    };
    for (const auto &row : rows) {
        std::string line;
        for (const std::string &word : row)
            line += word + " ";
        CAPTURE(line);
        Reason reason;
        CHECK_FALSE(parse(row, &reason));
        CHECK_FALSE(reason.what.empty());
    }
}

TEST_CASE("flags take precedence over environment variables")
{
    Reason reason;
    const std::map<std::string, std::string> environment = {
        {"CUMINRAIL_PLATFORM", "10.0.0.1:9000"},
        {"CUMINRAIL_ADMINS", "10.0.0.2:8081,10.0.0.3:8081"},
    };
    const auto fromEnvironment = parse({"status"}, &reason, environment);
    REQUIRE(fromEnvironment);
    CHECK(fromEnvironment->platform == "10.0.0.1:9000");
    CHECK(fromEnvironment->admins.size() == 2);
    const auto fromFlag = parse({"status", "--platform", "10.0.0.9:9"}, &reason, environment);
    REQUIRE(fromFlag);
    CHECK(fromFlag->platform == "10.0.0.9:9");
    CHECK(parse({"keys", "add", "--team", "a", "--customer", "b"}, &reason, environment)->command
          == "keys add");
}
