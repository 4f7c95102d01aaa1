#include <doctest/doctest.h>

#include "quarantine/fingerprint/ContentFingerprint.h"

using namespace cuminrail;

// Guards against different requests that share a fingerprint because their concatenated parts
// match.
TEST_CASE(
    "fingerprints differ if customer, path or body differ, even if their concatenation does not")
{
    const auto fingerprint = ContentFingerprint::ofRequest("north", "/safe/x", "body");
    CHECK(fingerprint == ContentFingerprint::ofRequest("north", "/safe/x", "body"));
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
        CHECK_FALSE(fingerprint
                    == ContentFingerprint::ofRequest(row.customer, row.target, row.body));
    }
}

// Guards against parts of different customers or models that share a fingerprint.
TEST_CASE(
    "fingerprints of parts differ if customer, model or part differ, or only one names a customer")
{
    const auto part = ContentFingerprint::ofPart("m", "a1");
    CHECK(part == ContentFingerprint::ofPart("m", "a1"));
    for (const auto &other :
         {ContentFingerprint::ofPart("n", "a1"), ContentFingerprint::ofPart("m", "a2"),
          ContentFingerprint::ofPart("ma", "1"), ContentFingerprint::ofCustomerPart("", "m", "a1"),
          ContentFingerprint::ofCustomerPart("north", "m", "a1"),
          ContentFingerprint::ofCustomerPart("northm", "", "a1")}) {
        CAPTURE(other.text());
        CHECK_FALSE(part == other);
    }
    CHECK_FALSE(ContentFingerprint::ofCustomerPart("north", "m", "a1")
                == ContentFingerprint::ofCustomerPart("south", "m", "a1"));
}

TEST_CASE("a fingerprint is parsed from its text, and other texts are rejected")
{
    const auto fingerprint = ContentFingerprint::ofRequest("north", "/safe/x", "body");
    for (const auto &each : {fingerprint, ContentFingerprint::ofPart("m", "a1"),
                             ContentFingerprint::ofCustomerPart("north", "m", "a1")}) {
        const auto read = ContentFingerprint::fromText(each.text());
        REQUIRE(read);
        CHECK(*read == each);
        CHECK(read->kind() == each.kind());
    }
    for (const std::string &text :
         {std::string(), std::string("abc"), std::string(ContentFingerprint::digits, 'g'),
          std::string(ContentFingerprint::digits, 'A'), fingerprint.text() + "0",
          "x" + fingerprint.text(), "p" + fingerprint.text() + "0"}) {
        CAPTURE(text);
        CHECK_FALSE(ContentFingerprint::fromText(text));
    }
}
