#include <doctest/doctest.h>

#include "quarantine/fingerprint/RequestFingerprint.h"

using namespace cuminrail;

// Guards against different requests that share a fingerprint because their concatenated parts
// match.
TEST_CASE(
    "fingerprints differ if customer, path or body differ, even if their concatenation does not")
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

TEST_CASE("a fingerprint is parsed from its text, and other texts are rejected")
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
