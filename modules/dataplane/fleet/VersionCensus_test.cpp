#include <doctest/doctest.h>

#include "dataplane/fleet/UpstreamDirectory.h"

using namespace cuminrail;

namespace {

constexpr Millis retention = Millis(10000);

UpstreamEntry entry(const std::string &id, const std::string &version, std::int64_t startedAt = 1)
{
    UpstreamEntry made;
    made.id = id;
    made.service = "svc";
    made.address = "10.0.0.1:1";
    made.softwareVersion = version;
    made.startedAt = startedAt;
    return made;
}

} // namespace

// Guards against a version that is taken for the only one while streams of another one last.
TEST_CASE("a service is settled once one version alone has been listed for the retention")
{
    UpstreamDirectory directory;
    directory.setVersionRetention(retention);
    const auto isSettled = [&](Millis now) { return directory.versions().isSettled("svc", now); };
    directory.replaceAll({entry("a", "v1"), entry("b", "v1")}, Millis(0));
    CHECK_FALSE(isSettled(Millis(9999)));
    CHECK(isSettled(Millis(10000)));
    CHECK(directory.versions().onlyListed("svc") == "v1");

    directory.update(entry("c", "v1.1"), Millis(20000));
    CHECK_FALSE(isSettled(Millis(20000)));
    CHECK_FALSE(directory.versions().onlyListed("svc"));
    CHECK(directory.versions().lastChangeAt("svc") == Millis(20000));

    directory.remove("a", Millis(21000));
    directory.update(entry("b", "v1.1", 2), Millis(22000));
    CHECK(directory.versions().onlyListed("svc") == "v1.1");
    CHECK_FALSE(isSettled(Millis(31999)));
    CHECK(isSettled(Millis(32000)));

    directory.update(entry("d", "v1"), Millis(40000));
    CHECK_FALSE(isSettled(Millis(60000)));
    CHECK(directory.versions().lastChangeAt("svc") == Millis(40000));
    CHECK_FALSE(directory.versions().isSettled("other", Millis(60000)));
}

// Guards against an upstream that is taken for the one it was before it started again.
TEST_CASE("other software under the same id is another upstream")
{
    UpstreamDirectory directory;
    directory.replaceAll({entry("a", "v1", 5)}, Millis(0));
    const UpstreamPointer before = directory.find("a");
    directory.update(entry("a", "v2", 5), Millis(10));
    CHECK(before->isLeaving);
    CHECK(before->entry.softwareVersion == "v1");
    CHECK(directory.find("a") != before);
    CHECK(directory.versions().onlyListed("svc") == "v2");
    directory.remove("a", Millis(20));
    CHECK(directory.versions().listed("svc").empty());
}
