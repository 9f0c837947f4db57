#include <rhubarbgrade/detail/routing/admission.hpp>

#include <catch2/catch.hpp>

using namespace rhubarbgrade;

TEST_CASE("an endpoint in good condition admits requests up to its limit",
          "[admission]")
{
    admission_state state;
    state.limit = 2;
    state.in_flight = 1;
    CHECK(admit(state) == admission_result::admitted);
    state.in_flight = 2;
    CHECK(admit(state) == admission_result::full);
}

TEST_CASE("the reason for a rejection doesn't depend on how full it is",
          "[admission]")
{
    admission_state state;
    state.in_flight = state.limit;
    state.evacuated = true;
    state.cold_share_left = false;
    CHECK(admit(state) == admission_result::evacuated);
    state.evacuated = false;
    CHECK(admit(state) == admission_result::cold);
    CHECK(to_string(admit(state)) == "cold");
}
