#include <doctest/doctest.h>

#include "dataplane/placement/LeastLoaded.h"

#include <map>

using namespace cuminrail;

namespace {

UpstreamPointer upstream(const std::string &id, const std::string &domain, std::uint32_t slots = 6)
{
    auto record = std::make_shared<UpstreamRecord>();
    record->entry.id = id;
    record->entry.failureDomain = domain;
    record->entry.slots = slots;
    return record;
}

} // namespace

TEST_CASE("own domain first, others as load grows, each by its size")
{
    LeastLoaded chooser;
    const std::set<std::string> none;
    const LeastLoaded::Query query{"a", &none, [](const std::string &) { return 0.0; },
                                   [](const std::string &) { return false; }};
    const std::vector<UpstreamPointer> upstreams{upstream("near", "a"), upstream("far", "b", 12)};
    std::map<std::string, int> counts;
    for (int i = 0; i < 18; ++i) {
        const auto chosen = chooser.choose(upstreams, query);
        REQUIRE((chosen != nullptr));
        if (i < 2)
            CHECK(chosen->entry.id == "near");
        chooser.started(chosen->entry.id);
        ++counts[chosen->entry.id];
    }
    CHECK(counts["near"] >= 6);
    CHECK(counts["far"] >= 6);
    for (const auto &[id, count] : counts) {
        for (int i = 0; i < count; ++i)
            chooser.finished(id);
        CHECK(chooser.open(id) == 0);
    }
}

// An upstream fails a third of its requests while its health check is good.
TEST_CASE("bad outcomes count as load, and a set aside upstream comes last")
{
    LeastLoaded chooser;
    const std::set<std::string> none;
    LeastLoaded::Query query{"a", &none,
                             [](const std::string &id) { return id == "x" ? 0.3 : 0.0; },
                             [](const std::string &id) { return id == "z"; }};
    const std::vector<UpstreamPointer> all{upstream("x", "a"), upstream("y", "b"),
                                           upstream("z", "a")};
    CHECK(chooser.choose(all, query)->entry.id == "y");
    CHECK(chooser.choose({all[2]}, query)->entry.id == "z");
    const std::set<std::string> tried{"x", "y", "z"};
    query.tried = &tried;
    CHECK((chooser.choose(all, query) == nullptr));
}
