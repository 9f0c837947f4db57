// What a copy of the store that may be old tells of the present.

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/membership/reader_choice.hpp>

#include "../../src/store/revision_times.hpp"
#include "../../src/store/waiting_watch.hpp"
#include "../../src/store/watch_check.hpp"

using namespace rhubarbgrade;

namespace
{

time_point_t at(int ms)
{
    return time_point_t() + milliseconds(ms);
}

} // namespace

TEST_CASE("a copy proves what the store had accepted when it was known to be "
          "no further",
          "[revision-times]")
{
    revision_times times;
    CHECK_FALSE(times.latest());
    CHECK_FALSE(times.complete_until(500));
    times.record(100, at(1000));
    times.record(110, at(2000));
    times.record(130, at(3000));
    CHECK(times.latest() == at(3000));
    CHECK_FALSE(times.complete_until(99));
    CHECK(times.complete_until(100) == at(1000));
    CHECK(times.complete_until(109) == at(1000));
    CHECK(times.complete_until(110) == at(2000));
    CHECK(times.complete_until(129) == at(2000));
    CHECK(times.complete_until(130) == at(3000));
    CHECK(times.complete_until(999) == at(3000));
    times.clear();
    CHECK_FALSE(times.complete_until(999));
}

// Guards against counting a response as of when it arrived: a watch may wait
// for seconds while its call is older than what another one has told.
TEST_CASE("a response counts as of the begin of its call, in any order",
          "[revision-times]")
{
    revision_times times;
    times.record(120, at(5000));
    // It began earlier and was answered later.
    times.record(125, at(1000));
    CHECK(times.latest() == at(5000));
    CHECK_FALSE(times.complete_until(119));
    CHECK(times.complete_until(120) == at(5000));
    times.record(110, at(2000));
    CHECK(times.complete_until(119) == at(2000));
    // Nothing has been written since.
    times.record(120, at(6000));
    CHECK(times.complete_until(120) == at(6000));
    CHECK(times.complete_until(119) == at(2000));
}

TEST_CASE("the last seconds are kept however often the store is written",
          "[revision-times]")
{
    revision_times times;
    constexpr int count = 10000;
    for (int i = 0; i < count; ++i)
        times.record(static_cast<std::uint64_t>(100 + i), at(10 * i));
    CHECK(*times.latest() >= at(10 * count - 60));
    // What was true three seconds ago, less the spacing.
    const auto until = times.complete_until(100 + count - 300);
    REQUIRE(until);
    CHECK(*until >= at(10 * count - 3100));
    CHECK(*until <= at(10 * count - 3000));
}

TEST_CASE("a watch that no response has shown to be complete isn't so by its "
          "revision",
          "[revision-times]")
{
    revision_times times;
    times.record(100, at(1000));
    waiting_watch watch;
    watch.revision = 100;
    CHECK_FALSE(complete_until(watch, times));
    watch.complete_until = at(500);
    CHECK(complete_until(watch, times) == at(1000));
    // A store in which nothing changes needs no further call for it.
    times.record(100, at(4000));
    CHECK(complete_until(watch, times) == at(4000));
    times.record(101, at(5000));
    CHECK(complete_until(watch, times) == at(4000));
    watch.complete_until = at(6000);
    CHECK(complete_until(watch, times) == at(6000));
}

// Guards against asking at a low price what old data can't tell: a copy proves
// nothing of a time of which the store's revision isn't known.
TEST_CASE("old data are allowed only where the present revision is known",
          "[revision-times]")
{
    CHECK_FALSE(may_allow_old_data(std::nullopt, at(0)));
    CHECK_FALSE(may_allow_old_data(at(999), at(1000)));
    CHECK(may_allow_old_data(at(1000), at(1000)));
    const auto needed =
        needed_completeness(at(5000), milliseconds(1100), milliseconds(500));
    CHECK(needed == at(4400));
}

// A change whose response is lost just after a check is found by the next one;
// the rest of the bound is for that call, the news and requests under way.
TEST_CASE("a reader's state is young enough for its zone and each bound",
          "[revision-times]")
{
    for (const int bound : {2000, 3000, 4000})
    {
        reader_policy policy;
        policy.apply_bound = milliseconds(bound);
        CHECK(max_reader_age(policy) + policy.apply_time + policy.news_time <=
              policy.apply_bound);
        for (const std::size_t rank : {0, 1, 2, 4, 9})
            CHECK(max_reader_age(policy) + policy.news_time <=
                  max_state_age(rank, policy));
    }
}
