// Merging of the reports of leaving endpoints that hosts exchange.

#include <chrono> // seconds

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/membership/leaving.hpp>

using namespace rhubarbgrade;
using std::chrono::seconds;

namespace
{

members_t listed()
{
    members_t members;
    for (const char* const name : {"a1", "a2", "b1"})
        members[name].listed.name = name;
    return members;
}

} // namespace

TEST_CASE("reports of leaving endpoints")
{
    const auto members = listed();
    const time_point_t now{seconds(100)};
    leaving_reports_t known;
    const std::vector<leaving_report> initial{{"b1", 7, 3, {"e9"}}};
    CHECK(merge_reports(known, initial, "a1", members, now));
    CHECK(leaving_endpoints(known) == leaving_set_t{"e9"});

    SECTION("an older one changes nothing, also one of an older incarnation")
    {
        const std::vector<leaving_report> outdated{{"b1", 7, 2, {}},
                                                   {"b1", 6, 99, {}}};
        CHECK_FALSE(merge_reports(known, outdated, "a1", members, now));
        CHECK(leaving_endpoints(known) == leaving_set_t{"e9"});
    }
    SECTION("a newer one replaces it")
    {
        const std::vector<leaving_report> newer{{"b1", 8, 1, {}}};
        CHECK(merge_reports(known, newer, "a1", members, now));
        CHECK(leaving_endpoints(known).empty());
    }
    SECTION("one that is not renewed expires")
    {
        CHECK_FALSE(
            merge_reports(known, {}, "a1", members, now + leaving_report_ttl));
        CHECK(merge_reports(known, {}, "a1", members,
                            now + leaving_report_ttl + seconds(1)));
        CHECK(known.empty());
    }
    SECTION("the host's own and those of unlisted hosts are ignored")
    {
        const std::vector<leaving_report> ignored{{"a1", 1, 1, {"e1"}},
                                                  {"z9", 1, 1, {"e2"}}};
        CHECK_FALSE(merge_reports(known, ignored, "a1", members, now));
        CHECK(leaving_endpoints(known) == leaving_set_t{"e9"});
    }
}
