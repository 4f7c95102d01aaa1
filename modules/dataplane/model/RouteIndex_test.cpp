#include <doctest/doctest.h>

#include "dataplane/model/RouteIndex.h"

using namespace cuminrail;

namespace {

Route makeRoute(const std::string &host, const std::string &prefix, const std::string &service)
{
    Route route;
    route.name = service;
    route.host = host;
    route.pathPrefix = prefix;
    route.targets = {{service, 1}};
    return route;
}

Configuration twoHosts()
{
    Configuration configuration;
    configuration.version = 3;
    configuration.routes = {
        makeRoute("a.example", "/", "rest"), makeRoute("a.example", "/x/", "short"),
        makeRoute("a.example", "/x/y/", "long"), makeRoute("b.example", "/x/", "other")};
    configuration.customers = {{"north", {"key-1", "key-2"}, std::nullopt},
                               {"south", {"key-3"}, 2}};
    return configuration;
}

} // namespace

// Guards against requests that reach another host's route, or a shorter prefix than the one that
// matches, because host or prefix are compared inexactly.
TEST_CASE("a request gets the route with the longest matching prefix of its own host")
{
    struct Row
    {
        const char *host;
        const char *path;
        const char *service;
    };
    const RouteIndex index(twoHosts());
    for (const Row &row : {Row{"a.example", "/x/y/z", "long"}, Row{"a.example", "/x/yz", "short"},
                           Row{"a.example", "/q", "rest"}, Row{"A.EXAMPLE:8080", "/x/1", "short"},
                           Row{"b.example", "/x/y/", "other"}, Row{"b.example", "/y/", nullptr},
                           Row{"b.example", "/x", nullptr}, Row{"c.example", "/x/", nullptr}}) {
        CAPTURE(row.host);
        CAPTURE(row.path);
        const Route *route = index.find(row.host, row.path);
        if (row.service == nullptr)
            CHECK(route == nullptr);
        else
            CHECK((route != nullptr && route->targets.front().service == row.service));
    }
}

// Guards against use counted for the wrong customer, and against access with an unknown key.
TEST_CASE("a key identifies exactly one customer, and an unknown key none")
{
    const RouteIndex index(twoHosts());
    REQUIRE(index.caller("key-2") != nullptr);
    CHECK(index.caller("key-2")->customer == "north");
    CHECK_FALSE(index.caller("key-2")->priority);
    CHECK(index.caller("key-3")->priority == 2);
    CHECK(index.caller("") == nullptr);
    CHECK(index.caller("key-4") == nullptr);
}

// Guards against a retried request that reaches another service than its first attempt, and against
// a division of requests that ignores the weights.
TEST_CASE("requests are divided by weight, and the same request always gets the same service")
{
    Route route = makeRoute("a.example", "/", "big");
    route.targets = {{"big", 90}, {"small", 10}};
    int small = 0;
    for (int i = 0; i < 10000; ++i) {
        const std::string id = "request-" + std::to_string(i);
        const std::string &service = RouteIndex::target(route, id);
        CHECK(service == RouteIndex::target(route, id));
        small += service == "small" ? 1 : 0;
    }
    CHECK(small > 850);
    CHECK(small < 1150);
}
