#include "ctl/ctl.h"
#include "platform/adapters/HttpObjectStore.h"
#include "standin/standin.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace cuminrail;
using standin::PlatformOptions;
using standin::StandinHost;
using standin::StandinPlatform;

namespace {

const char *const exampleTree = "examples/inteko";
const char *const withdrawnDemoKey =
    "2bfd728ee30ec64131fde65e7b3e4303a849f09494c370309dda07e1c244c41a";

/** A temporary copy of the example settings tree, removed on destruction. */
class ScratchTree
{
public:
    ScratchTree()
    {
        std::string name = (std::filesystem::temp_directory_path() / "ctl-XXXXXX").string();
        path_ = mkdtemp(name.data());
        std::filesystem::copy(exampleTree, path_, std::filesystem::copy_options::recursive);
    }
    ~ScratchTree() { std::filesystem::remove_all(path_); }
    ScratchTree(const ScratchTree &) = delete;
    ScratchTree &operator=(const ScratchTree &) = delete;

    const std::string &path() const { return path_; }
    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(path_ + "/" + name) << text;
    }
    void replace(const std::string &name, const std::string &from, const std::string &to) const
    {
        std::ostringstream text;
        text << std::ifstream(path_ + "/" + name).rdbuf();
        std::string changed = text.str();
        const auto at = changed.find(from);
        REQUIRE(at != std::string::npos);
        write(name, changed.replace(at, from.size(), to));
    }
    void erase(const std::string &name) const { std::filesystem::remove(path_ + "/" + name); }

private:
    std::string path_;
};

/** Runs command lines against its own platform stand-in. */
class Operator
{
public:
    CtlReport run(std::vector<std::string> words, const std::string &standardInput = "")
    {
        words.insert(words.begin(), "cuminrailctl");
        words.insert(words.end(), {"--platform", platform.address()});
        std::vector<const char *> argv;
        argv.reserve(words.size());
        for (const std::string &word : words)
            argv.push_back(word.c_str());
        Reason reason;
        const auto none = [](const std::string &) { return std::optional<std::string>(); };
        const auto arguments =
            readCtlArguments(static_cast<int>(argv.size()), argv.data(), none, &reason);
        if (!arguments) {
            CtlReport report;
            report.exit = CtlExit::Usage;
            report.text = reason.toString();
            return report;
        }
        std::istringstream input(standardInput);
        return runCtlCommand(*arguments, {input, random_, onWait});
    }

    StandinHost<StandinPlatform> platform{PlatformOptions{}};
    std::function<void(Millis)> onWait = [](Millis) {};

private:
    RandomHook random_ = seededRandom(7);
};

std::size_t contentsIn(Operator &op)
{
    return op.platform.run([](StandinPlatform &platform) {
        return platform.store().list(kSettingsContentPrefix, platform.store().revision()).size();
    });
}

} // namespace

TEST_CASE("a tree is shown as a diff, applied and read back; applying it again changes nothing")
{
    Operator op;
    CHECK(op.run({"apply", exampleTree, "--dry-run"}).exit == CtlExit::Differences);
    CHECK(op.run({"get"}).json["generation"] == 0);
    const CtlReport applied = op.run({"apply", exampleTree});
    CHECK(applied.exit == CtlExit::Ok);
    CHECK(applied.json["generation"] == 1);
    CHECK_FALSE(applied.json["changes"].empty());
    CHECK(op.run({"diff", exampleTree}).exit == CtlExit::Ok);
    CHECK(op.run({"apply", exampleTree}).json["generation"] == 1);
    const CtlReport fleet = op.run({"get", "fleet"});
    CHECK(fleet.json["subtrees"]["fleet"]["engines"].size() == 10);
    CHECK(op.run({"get", "teams/nobody"}).exit == CtlExit::Differences);
}

TEST_CASE("a tree with a mistake is refused as a whole, with the path of the mistake")
{
    const ScratchTree tree;
    Operator op;
    tree.replace("teams/counsel.json", "\"weight\": 2", "\"wieght\": 2");
    const CtlReport report = op.run({"apply", tree.path()});
    CHECK(report.exit == CtlExit::Differences);
    CHECK(report.text.find("/customers/0/wieght") != std::string::npos);
    CHECK(op.run({"get"}).json["generation"] == 0);
    CHECK(contentsIn(op) == 0);
}

TEST_CASE("a team's directory is validated together with the stored settings")
{
    // A team applies only its own subtrees. Validated alone, they would be refused for models that
    // another subtree defines; not validated, a key of an undefined customer would be in force.
    Operator op;
    REQUIRE(op.run({"apply", exampleTree}).exit == CtlExit::Ok);
    const ScratchTree tree;
    tree.erase("fleet.json");
    tree.replace("teams/counsel.json", "\"weight\": 2", "\"weight\": 3");
    const CtlReport applied = op.run({"apply", tree.path()});
    CHECK(applied.exit == CtlExit::Ok);
    CHECK(applied.json["changes"].size() == 1);
    CHECK(op.run({"apply", tree.path(), "--whole"}).exit == CtlExit::Differences);
    tree.replace("keys/counsel.json", "chamber-rusizi", "chamber-nobody");
    CHECK(op.run({"apply", tree.path()}).exit == CtlExit::Differences);
    CHECK(op.run({"get"}).json["generation"] == 2);
}

TEST_CASE("of two concurrent operators the later one gets a conflict")
{
    // Both start from generation 1. The first change is in force when the second is applied;
    // without a version condition the second would silently overwrite it.
    Operator op;
    REQUIRE(op.run({"apply", exampleTree}).exit == CtlExit::Ok);
    const ScratchTree first;
    const ScratchTree second;
    first.replace("teams/counsel.json", "\"weight\": 2", "\"weight\": 3");
    second.replace("teams/counsel.json", "\"weight\": 2", "\"weight\": 4");
    CHECK(op.run({"apply", first.path(), "--base", "1"}).exit == CtlExit::Ok);
    const CtlReport laterApply = op.run({"apply", second.path(), "--base", "1"});
    CHECK(laterApply.exit == CtlExit::Conflict);
    CHECK(laterApply.text.find("generation 2") != std::string::npos);

    // The same race in the milliseconds between load and commit.
    ControlLoop loop("test");
    SettingsRepository repository(loop, makeHttpObjectStore(loop.client(), op.platform.address()),
                                  seededRandom(1));
    const auto base = repository.load(nullptr);
    REQUIRE(base);
    CHECK(op.run({"apply", second.path()}).exit == CtlExit::Ok);
    const CommitResult conflicting = repository.commit(*base, base->subtrees);
    CHECK(conflicting.status == CommitStatus::Conflict);
    CHECK(conflicting.generation == 3);
}

TEST_CASE("an apply interrupted by a store fault leaves the old or the new tree, never a mixture")
{
    // The store fails, or its responses are lost, at the first, second, … write of an apply. If
    // the tree were written in place, it would then be partly old and partly new.
    for (const char *fault : {"lose-answer", "down", "refuse", "reset"}) {
        for (int skip = 0; skip < 8; ++skip) {
            CAPTURE(fault);
            CAPTURE(skip);
            Operator op;
            const std::string rule = R"({"rules":[{"method":"PUT","fault":")" + std::string(fault)
                + R"(","skip":)" + std::to_string(skip) + R"(,"count":1}]})";
            REQUIRE(op.platform.setFaults(rule));
            const CtlReport applied = op.run({"apply", exampleTree});
            CHECK(applied.exit == CtlExit::Ok);
            CHECK(op.run({"get"}).json["generation"] == 1);
            CHECK(op.run({"diff", exampleTree}).exit == CtlExit::Ok);
        }
    }
}

TEST_CASE("an apply during which the store becomes unavailable puts nothing in force")
{
    // The store becomes unavailable for good after some writes of an apply. What was written until
    // then must not be in force and must not make the next apply fail.
    for (const char *fault : {"lose-answer", "down", "refuse"}) {
        for (int skip = 0; skip < 7; ++skip) {
            CAPTURE(fault);
            CAPTURE(skip);
            Operator op;
            REQUIRE(op.platform.setFaults(R"({"rules":[{"method":"PUT","fault":")"
                                          + std::string(fault) + R"(","skip":)"
                                          + std::to_string(skip) + "}]}"));
            CHECK(op.run({"apply", exampleTree}).exit == CtlExit::Unavailable);
            REQUIRE(op.platform.setFaults("{}"));
            CHECK(op.run({"get"}).json["generation"] == 0);
            CHECK(op.run({"apply", exampleTree}).json["generation"] == 1);
        }
    }
}

TEST_CASE("apply reports an unavailable store and changes nothing")
{
    Operator op;
    REQUIRE(op.platform.setFaults(R"({"rules":[{"fault":"down"}]})"));
    CHECK(op.run({"apply", exampleTree}).exit == CtlExit::Unavailable);
    REQUIRE(op.platform.setFaults(R"({"rules":[{"method":"PUT","fault":"down"}]})"));
    const CtlReport report = op.run({"apply", exampleTree});
    CHECK(report.exit == CtlExit::Unavailable);
    REQUIRE(op.platform.setFaults("{}"));
    CHECK(op.run({"get"}).json["generation"] == 0);
}

TEST_CASE("a head write without any response is reported as unknown, not as refused")
{
    // The store accepts the head but every response is lost. "Nothing was changed" would be wrong.
    Operator op;
    REQUIRE(op.platform.setFaults(
        R"({"rules":[{"fault":"lose-answer","method":"PUT","path_prefix":"/objects/settings/head"},
                     {"fault":"down","method":"GET","path_prefix":"/objects/settings/head","skip":1}]})"));
    const CtlReport report = op.run({"apply", exampleTree});
    CHECK(report.exit == CtlExit::Unavailable);
    CHECK(report.json["commit"] == "unknown");
}

TEST_CASE("keys are created and withdrawn; an outdated directory cannot make them valid again")
{
    // A key is stolen and withdrawn. Later someone applies a directory that was checked out before
    // the withdrawal; the stolen key would be accepted again.
    Operator op;
    REQUIRE(op.run({"apply", exampleTree}).exit == CtlExit::Ok);
    const CtlReport added =
        op.run({"keys", "add", "--team", "counsel", "--customer", "chamber-rusizi"});
    REQUIRE(added.exit == CtlExit::Ok);
    const auto key = added.json["key"].get<std::string>();
    CHECK(op.run({"get", "keys/counsel"}).text.find(key) == std::string::npos);
    CHECK(op.run({"keys", "withdraw", "--key-stdin"}, key + "\n").exit == CtlExit::Ok);
    CHECK(op.run({"keys", "withdraw", "--hash", std::string(64, '0')}).exit
          == CtlExit::Differences);
    CHECK(op.run({"keys", "add", "--team", "counsel", "--customer", "nobody"}).exit
          == CtlExit::Differences);

    const ScratchTree tree;
    tree.write("keys/advocates.json",
               R"({"keys":[{"customer":"chamber-nyungwe","sha256":")"
                   + std::string(withdrawnDemoKey) + R"("}]})");
    const CtlReport revived = op.run({"apply", tree.path()});
    CHECK(revived.exit == CtlExit::Differences);
    CHECK(revived.text.find("was withdrawn") != std::string::npos);
}

TEST_CASE("pruning removes unreferenced contents, but none of a commit in progress")
{
    // Pruning runs after an operator wrote contents and before the head that references them. If
    // it removed them, that head would have dangling references and no instance could read the
    // settings.
    Operator op;
    REQUIRE(op.run({"apply", exampleTree}).exit == CtlExit::Ok);
    const ScratchTree tree;
    tree.replace("teams/counsel.json", "\"weight\": 2", "\"weight\": 3");
    REQUIRE(op.run({"apply", tree.path()}).exit == CtlExit::Ok);
    const std::size_t before = contentsIn(op);
    op.onWait = [&op](Millis) { CHECK(op.run({"apply", exampleTree}).exit == CtlExit::Ok); };
    CHECK(op.run({"prune"}).json["removed"] == 0);
    CHECK(contentsIn(op) == before);
    CHECK(op.run({"diff", exampleTree}).exit == CtlExit::Ok);
    op.onWait = [](Millis) {};
    CHECK(op.run({"prune"}).json["removed"] == 1);
    CHECK(op.run({"diff", exampleTree}).exit == CtlExit::Ok);
}

TEST_CASE("status distinguishes an unresponsive instance from one without current settings")
{
    Operator op;
    StandinHost<standin::StandinService> withoutSettings(standin::ServiceOptions{});
    const CtlReport report =
        op.run({"status", "--admin", withoutSettings.address() + ",127.0.0.1:1"});
    CHECK(report.exit == CtlExit::Differences);
    REQUIRE(report.json["instances"].size() == 2);
    CHECK(report.json["instances"][0]["answers"] == true);
    CHECK(report.json["instances"][0]["current"] == false);
    CHECK(report.json["instances"][1]["answers"] == false);
}
