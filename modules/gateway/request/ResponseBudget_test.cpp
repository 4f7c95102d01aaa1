#include "gateway/request/ResponseBudget.h"

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
