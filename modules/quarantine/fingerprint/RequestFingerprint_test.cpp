#include <doctest/doctest.h>

#include "quarantine/fingerprint/RequestFingerprint.h"

using namespace cuminrail;

// Guards against two requests that are taken for one because their parts run together.
TEST_CASE(
    "a fingerprint differs when customer, path or body do, also where their joined text is one")
{
    const auto fingerprint = RequestFingerprint::of("north", "/safe/x", "body");
    CHECK(fingerprint == RequestFingerprint::of("north", "/safe/x", "body"));
    struct Row
    {
        const char *customer;
        const char *target;
        const char *body;
    };
    for (const Row &row : {Row{"south", "/safe/x", "body"}, Row{"north", "/safe/y", "body"},
                           Row{"north", "/safe/x", "bodY"}, Row{"north", "/safe/xb", "ody"},
                           Row{"north/", "safe/x", "body"}, Row{"", "north/safe/x", "body"}}) {
        CAPTURE(row.customer);
        CAPTURE(row.target);
        CAPTURE(row.body);
        CHECK_FALSE(fingerprint == RequestFingerprint::of(row.customer, row.target, row.body));
    }
}

TEST_CASE("a fingerprint is read back from its text, and from nothing else")
{
    const auto fingerprint = RequestFingerprint::of("north", "/safe/x", "body");
    const auto read = RequestFingerprint::fromText(fingerprint.text());
    REQUIRE(read);
    CHECK(*read == fingerprint);
    for (const std::string &text :
         {std::string(), std::string("abc"), std::string(RequestFingerprint::digits, 'g'),
          std::string(RequestFingerprint::digits, 'A'), fingerprint.text() + "0"}) {
        CAPTURE(text);
        CHECK_FALSE(RequestFingerprint::fromText(text));
    }
}
