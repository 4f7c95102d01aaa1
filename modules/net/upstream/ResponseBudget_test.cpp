#include "net/upstream/ResponseBudget.h"

#include <doctest/doctest.h>

using namespace cuminrail;

// Guards against memory that grows with each long response, and against short ones that suffer.
TEST_CASE("long responses share a budget and short ones need none")
{
    constexpr std::size_t freeBytes = ResponseBudget::freeBytes;
    ResponseBudget budget(100);
    ResponseShare first;
    CHECK(first.growTo(budget, freeBytes));
    CHECK(budget.used() == 0);
    CHECK(first.growTo(budget, freeBytes + 60));
    CHECK(first.growTo(budget, freeBytes + 60));
    CHECK(budget.used() == 60);
    ResponseShare second;
    CHECK_FALSE(second.growTo(budget, freeBytes + 41));
    CHECK(budget.used() == 60);
    CHECK(second.growTo(budget, freeBytes));
    CHECK(second.growTo(budget, freeBytes + 40));
    CHECK(budget.used() == 100);
    ResponseShare moved = std::move(first);
    CHECK(budget.used() == 100);
    moved = ResponseShare();
    CHECK(budget.used() == 40);
    {
        const ResponseShare last = std::move(second);
        CHECK(budget.used() == 40);
    }
    CHECK(budget.used() == 0);
}

// Guards against heads and events that are never whole and keep whole responses out.
TEST_CASE("parts of responses share half of the budget, and give back what they no longer take")
{
    constexpr std::size_t freeBytes = 10;
    ResponseBudget budget(100);
    ResponseShare part(freeBytes);
    CHECK(part.setToPart(budget, freeBytes));
    CHECK(budget.used() == 0);
    CHECK(part.setToPart(budget, freeBytes + 40));
    ResponseShare other(freeBytes);
    CHECK_FALSE(other.setToPart(budget, freeBytes + 11));
    ResponseShare whole(freeBytes);
    CHECK(whole.growTo(budget, freeBytes + 60));
    CHECK_FALSE(other.setToPart(budget, freeBytes + 1));
    CHECK(part.setToPart(budget, freeBytes + 10));
    CHECK(budget.used() == 70);
    CHECK(other.setToPart(budget, freeBytes + 30));
    CHECK_FALSE(other.setToPart(budget, freeBytes + 31));
    CHECK(other.growTo(budget, freeBytes + 30));
    CHECK(other.setToPart(budget, 0));
    CHECK(part.setToPart(budget, 0));
    CHECK(budget.used() == 60);
}
