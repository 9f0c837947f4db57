// Decisions of a host that may be cut from the endpoints: whether it is, and
// through which other host it sends its requests.

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/routing/reach.hpp>
#include <rhubarbgrade/detail/routing/relay.hpp>

#include "../../src/peers/peer_state.hpp"

using namespace rhubarbgrade;

namespace
{

const time_point_t start = time_point_t{} + std::chrono::hours(1);
constexpr std::size_t endpoints = 18;

/// Lets endpoints fail one after the other, and returns whether the host then
/// counts as cut.
bool cut_after(service_reach& known, int failures, milliseconds interval,
               bool others_cut = false, std::size_t listed = endpoints)
{
    for (int i = 0; i < failures; ++i)
    {
        const auto now = start + i * interval;
        record_open(known, static_cast<std::uint64_t>(i) + 1, false, now);
        update_cut(known, listed, others_cut, now);
    }
    return known.cut;
}

} // namespace

TEST_CASE("a host is cut if several endpoints fail and none opens in between",
          "[reach]")
{
    service_reach known;
    SECTION("three suffice")
    {
        CHECK(cut_after(known, 3, milliseconds(400)));
    }
    SECTION("two do not, and neither does one that fails again and again")
    {
        CHECK_FALSE(cut_after(known, 2, milliseconds(400)));
        for (int i = 0; i < 9; ++i)
            record_open(known, 1, false, start + milliseconds(500));
        CHECK_FALSE(
            update_cut(known, endpoints, false, start + milliseconds(500)));
        CHECK(in_doubt(known, start + milliseconds(500)));
        CHECK(may_be_cut(known, start + milliseconds(500)));
    }
    SECTION("failures that are far apart do not")
    {
        CHECK_FALSE(cut_after(known, 9, milliseconds(2000)));
    }
    SECTION("one that opens clears the others")
    {
        cut_after(known, 2, milliseconds(100));
        record_open(known, 9, true, start + milliseconds(200));
        CHECK_FALSE(in_doubt(known, start + milliseconds(200)));
        record_open(known, 3, false, start + milliseconds(300));
        CHECK_FALSE(
            update_cut(known, endpoints, false, start + milliseconds(300)));
    }
    SECTION("two suffice if the host is cut from another service")
    {
        CHECK(cut_after(known, 2, milliseconds(400), true));
    }
    SECTION("all suffice if the service has fewer")
    {
        CHECK_FALSE(cut_after(known, 1, milliseconds(0), false, 2));
        CHECK(cut_after(known, 2, milliseconds(100), false, 2));
    }
}

TEST_CASE("a cut ends when an endpoint opens, and not before", "[reach]")
{
    service_reach known;
    REQUIRE(cut_after(known, 3, milliseconds(100)));
    const auto later = start + std::chrono::minutes(5);
    CHECK(in_doubt(known, later));
    CHECK_FALSE(update_cut(known, endpoints, false, later));
    CHECK(known.cut);
    record_open(known, 1, false, later);
    CHECK(known.cut);
    record_open(known, 7, true, later);
    CHECK_FALSE(known.cut);
    CHECK_FALSE(in_doubt(known, later));
}

TEST_CASE("an endpoint that crashes alone leaves no doubt of the path for long",
          "[reach]")
{
    service_reach known;
    record_open(known, 1, false, start);
    CHECK(in_doubt(known, start));
    CHECK_FALSE(may_be_cut(known, start));
    CHECK_FALSE(in_doubt(known, start + milliseconds(3000)));
}

TEST_CASE("relays of the own zone are taken, each as often as the others",
          "[reach]")
{
    std::uint64_t number = 0;
    const random_source_t random = [&number]
    {
        return number++;
    };
    const std::vector<relay_host> relays{{"a1", {"10.0.0.1", 7}, false},
                                         {"b1", {"10.0.0.2", 7}, true},
                                         {"b2", {"10.0.0.3", 7}, true},
                                         {"c1", {"10.0.0.4", 7}, false}};
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < 100; ++i)
        ++chosen[choose_relay(relays, {}, random).value()];
    CHECK(chosen == std::map<std::size_t, int>{{1, 50}, {2, 50}});
    CHECK(choose_relay(relays, std::vector<std::size_t>{1}, random) ==
          std::size_t{2});
    const auto far =
        choose_relay(relays, std::vector<std::size_t>{1, 2}, random).value();
    CHECK((far == 0 || far == 3));
    CHECK_FALSE(
        choose_relay(relays, std::vector<std::size_t>{0, 1, 2, 3}, random));
    CHECK_FALSE(choose_relay({}, {}, random));
}

TEST_CASE("a heartbeat tells at which port a host passes connections on",
          "[reach]")
{
    peer_heartbeat heartbeat;
    heartbeat.host = "h1";
    heartbeat.relay_port = 7341;
    const auto decoded = decode_datagram(encode_heartbeat(heartbeat));
    REQUIRE(decoded);
    CHECK(std::get<peer_heartbeat>(*decoded).relay_port == 7341);
}
