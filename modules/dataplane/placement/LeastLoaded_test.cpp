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

// Guards against an overloaded failure domain beside an idle one, and against traffic between
// domains while the own one has room.
TEST_CASE("the own domain is preferred, others are used as load grows, each by its slots")
{
    LeastLoaded chooser;
    const std::set<std::string> none;
    const LeastLoaded::Query query{"a", 0, &none, [](const std::string &) { return 0.0; },
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

// Guards against requests sent to an upstream that passes its health check while it fails a third
// of its requests.
TEST_CASE("bad outcomes count as load, and an ejected upstream is used last")
{
    LeastLoaded chooser;
    const std::set<std::string> none;
    LeastLoaded::Query query{"a", 0, &none,
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

// Guards against hundreds of instances, each with no request open, that all select the same one of
// ninety upstreams.
TEST_CASE("instances without open requests spread over equal upstreams, each to the same one")
{
    constexpr int instances = 900;
    constexpr int upstreamCount = 18;
    std::vector<UpstreamPointer> upstreams;
    upstreams.reserve(upstreamCount);
    for (int i = 0; i < upstreamCount; ++i)
        upstreams.push_back(upstream("u-" + std::to_string(i), "a"));
    const std::set<std::string> none;
    std::map<std::string, int> counts;
    for (int i = 0; i < instances; ++i) {
        const LeastLoaded chooser;
        const LeastLoaded::Query query{"a", static_cast<std::uint64_t>(i), &none,
                                       [](const std::string &) { return 0.0; },
                                       [](const std::string &) { return false; }};
        const std::string chosen = chooser.choose(upstreams, query)->entry.id;
        CHECK(chooser.choose(upstreams, query)->entry.id == chosen);
        ++counts[chosen];
    }
    CHECK(counts.size() == upstreamCount);
    for (const auto &[id, count] : counts)
        CHECK(count <= 2 * instances / upstreamCount);
}
