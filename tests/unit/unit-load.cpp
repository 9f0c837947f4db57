// Load that endpoints report: how it is read, and what is made of it as it
// grows old.

#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include <platform/caller_codec.hpp>
#include <rhubarbgrade/detail/placing/endpoint_load.hpp>
#include <rhubarbgrade/detail/placing/place.hpp>

using namespace rhubarbgrade;
using std::chrono::seconds;

namespace
{

const time_point_t start = time_point_t{} + std::chrono::hours(1);

endpoint_load reported(double per_slot, time_point_t at)
{
    endpoint_load load;
    record_report(load, per_slot, 0, 1, at);
    return load;
}

} // namespace

TEST_CASE("a load is read with and without the pace of the machine", "[load]")
{
    platform::response_head head;
    REQUIRE(platform::decode_load("3,1,8", head));
    CHECK(head.running == 3);
    CHECK(head.waiting == 1);
    CHECK(head.slots == 8);
    CHECK_FALSE(head.pace_percent);
    REQUIRE(platform::decode_load("5,0,64,172", head));
    CHECK(head.running == 5);
    CHECK(head.waiting == 0);
    CHECK(head.slots == 64);
    CHECK(head.pace_percent == 172);
}

TEST_CASE("a load with another number of figures is refused and told", "[load]")
{
    for (const std::string text :
         {"", "3", "3,1", "3,1,", "3,1,8,", "3,1,8,100,7", "3,1,8,fast",
          "3,-1,8", "3,1,8,-5", " 3,1,8"})
    {
        CAPTURE(text);
        platform::response_head head;
        CHECK_FALSE(platform::decode_load(text, head));
        CHECK(head.running == -1);
        CHECK_FALSE(head.pace_percent);
    }
    platform::fields_t fields;
    CHECK_FALSE(platform::decode_response(fields).load_unreadable);
    fields.set("Replica-Load", "3,1,8,100");
    CHECK_FALSE(platform::decode_response(fields).load_unreadable);
    CHECK(platform::decode_response(fields).pace_percent == 100);
    fields.set("Replica-Load", "3,1,8,100,1");
    CHECK(platform::decode_response(fields).load_unreadable);
    CHECK(platform::decode_response(fields).running == -1);
}

TEST_CASE("an old report says that an endpoint has the mean load", "[load]")
{
    mean_load mean;
    CHECK(mean.value() == 0);
    mean.add(reported(0.4, start), start);
    mean.add(reported(0.8, start), start);
    mean.add({}, start);
    CHECK(mean.value() == Approx(0.6));
    const auto load = reported(0.9, start);
    CHECK(expected_load(load, 0.6, start) == Approx(0.9));
    const auto aging = expected_load(load, 0.6, start + seconds(1));
    CHECK(aging > 0.6);
    CHECK(aging < 0.9);
    CHECK(expected_load(load, 0.6, start + seconds(20)) == Approx(0.6));
    CHECK(expected_load({}, 0.6, start) == Approx(0.6));
}

TEST_CASE("the mean says nothing when all reports are old", "[load]")
{
    mean_load mean;
    mean.add(reported(0.9, start), start + seconds(10));
    CHECK(mean.value() == 0);
}

TEST_CASE("at an equal load, an endpoint that has just reported it is not "
          "avoided for one that reports seldom",
          "[load]")
{
    std::mt19937_64 numbers(25); // NOLINT(cert-msc51-cpp): fixed for CI
    const random_source_t random = [&]
    {
        return numbers();
    };
    constexpr std::size_t count = 12;
    constexpr double usual_load = 0.7;
    std::vector<endpoint_load> loads(count);
    for (std::size_t i = 0; i < 3; ++i)
        loads[i] = reported(usual_load, start);
    mean_load mean;
    for (const auto& each : loads)
        mean.add(each, start);
    std::vector<placing_candidate> candidates(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        candidates[i].identity = i + 1;
        candidates[i].limit = 8;
        candidates[i].same_zone = true;
        candidates[i].reported_load =
            expected_load(loads[i], mean.value(), start);
    }
    // It holds the session's parts, which only this host knows of.
    candidates[0].cached_tokens = 800;
    placing_request request;
    request.prompt_tokens = 2000;
    int kept = 0;
    for (int i = 0; i < 300; ++i)
    {
        const auto chosen = place(candidates, request, {}, random);
        REQUIRE(chosen);
        kept += *chosen == 0 ? 1 : 0;
    }
    // As often as the three samples of twelve contain it.
    CHECK(kept > 300 / 6);
}

TEST_CASE("the pace of a machine counts by its average", "[load]")
{
    endpoint_load load;
    CHECK(load.pace == 1);
    record_report(load, 0.5, 0, 4, start);
    CHECK(load.pace < 1.5);
    for (int i = 0; i < 100; ++i)
        record_report(load, 0.5, 0, i % 2 == 0 ? 1 : 3, start + seconds(i));
    CHECK(load.pace > 1.7);
    CHECK(load.pace < 2.3);
}
