#include <doctest/doctest.h>

#include "upstreamlimits/table/LimitTable.h"

using namespace cuminrail;

// Guards against an older statement that arrives late and undoes the end of a limit, or a limit.
TEST_CASE("the statement received from the upstream last wins, in whatever order they arrive")
{
    struct Row
    {
        std::optional<double> perSecond;
        int receivedAt;
        LimitChange change;
        std::optional<double> after;
    };
    LimitTable table;
    for (const Row &row :
         {Row{std::nullopt, 10, LimitChange::None, std::nullopt},
          Row{2.0, 20, LimitChange::Marked, 2.0}, Row{2.1, 30, LimitChange::Slight, 2.1},
          Row{9.0, 25, LimitChange::None, 2.1}, Row{1.0, 40, LimitChange::Marked, 1.0},
          Row{std::nullopt, 50, LimitChange::Marked, std::nullopt},
          Row{1.0, 45, LimitChange::None, std::nullopt},
          Row{std::nullopt, 60, LimitChange::Slight, std::nullopt},
          Row{0.0, 70, LimitChange::Marked, 0.0}}) {
        CAPTURE(row.receivedAt);
        CHECK(table.update({7, row.perSecond, Millis(row.receivedAt)}) == row.change);
        CHECK(table.limit(7) == row.after);
        CHECK(table.hasLimits() == row.after.has_value());
    }
}

// Guards against an upstream that stays unused because the end of its limit was missed.
TEST_CASE("a limit that is not stated again expires")
{
    LimitTable table;
    table.update({7, 1.0, Millis(0)});
    table.update({8, 1.0, Millis(500)});
    CHECK_FALSE(table.expire(LimitTable::retention - Millis(1)));
    CHECK(table.expire(LimitTable::retention));
    CHECK_FALSE(table.limit(7));
    CHECK(table.limit(8) == 1.0);
    CHECK(table.limitedCount() == 1);
    CHECK(table.all().size() == 1);
}

TEST_CASE("the table holds no more than maxEntries upstreams")
{
    LimitTable table;
    for (UpstreamIncarnation incarnation = 0; incarnation < LimitTable::maxEntries + 10;
         ++incarnation)
        table.update({incarnation, 1.0, Millis(0)});
    CHECK(table.limitedCount() == LimitTable::maxEntries);
}
