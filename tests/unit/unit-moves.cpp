// Replays simulated traffic during a move through its decisions. Guards against
// taking back a good version, and against exposing requests to a bad one for
// too long or at too large a share.

#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include <rhubarbgrade/rhubarbgrade.hpp>

using namespace rhubarbgrade;

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

/// Error rate and latency factor of a version.
struct behaviour
{
    double error_rate = 0.001;
    double slow_factor = 1;
};

using behaviour_t = std::function<behaviour(double second, double share,
                                            const std::string& route)>;

struct replay_result
{
    move_progress progress;
    double worst_share = 0; ///< highest share of requests so far
    double end_s = -1;
    double fault_to_end_s = 0; ///< from the fault to the end
};

move plan_of_ten_minutes()
{
    move plan;
    plan.name = "m";
    plan.start = wall_time_t(seconds(1000));
    plan.deadline = plan.start + minutes(10);
    return plan;
}

/// Replays twenty requests a second on two routes. `fault_at` is in seconds.
replay_result replay(const move& plan, const behaviour_t& behaviour_at,
                     unsigned seed, double fault_at = 0)
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> latency(std::log(0.2), 0.3);
    std::uniform_real_distribution<double> uniform;
    move_evidence_t evidence;
    replay_result result;
    std::map<std::string, double> share_credit;
    std::map<std::string, double> to_count;
    std::map<std::string, double> count;
    for (double second = 0; second < 700; second += 0.25)
    {
        for (int request = 0; request < 5; ++request)
        {
            const std::string route = request == 0 ? "/rare" : "/usual";
            share_credit[route] += result.progress.share;
            const bool to_target = share_credit[route] >= 1;
            share_credit[route] -= to_target ? 1 : 0;
            count[route]++;
            to_count[route] += to_target ? 1 : 0;
            result.worst_share =
                std::max(result.worst_share, to_count[route] / count[route]);
            const auto current =
                to_target ? behaviour_at(second, result.progress.share, route)
                          : behaviour{};
            const bool succeeded = uniform(random) >= current.error_rate;
            const double latency_s = latency(random) * current.slow_factor;
            add_sample(evidence[route], to_target, succeeded, latency_s);
        }
        decay(evidence, 0.25);
        const auto previous_state = result.progress.state;
        const auto wall_time =
            plan.start + milliseconds(static_cast<long>(second * 1000));
        result.progress =
            advance(plan, result.progress, judge(plan, evidence), wall_time);
        const bool ended = result.progress.state == move_state::done ||
                           result.progress.state == move_state::taken_back;
        if (ended && previous_state != result.progress.state)
        {
            result.end_s = second;
            result.fault_to_end_s = second - fault_at;
            break;
        }
    }
    return result;
}

} // namespace

TEST_CASE("a move to a good version")
{
    const auto plan = plan_of_ten_minutes();
    int done = 0;
    int taken_back = 0;
    for (unsigned seed = 1; seed <= 100; ++seed)
    {
        const auto result = replay(
            plan,
            [](double, double, const std::string&)
            {
                return behaviour{};
            },
            seed);
        done += result.progress.state == move_state::done && result.end_s <= 600
                    ? 1
                    : 0;
        taken_back += result.progress.state == move_state::taken_back ? 1 : 0;
    }
    CHECK(taken_back == 0);
    CHECK(done == 100);
}

TEST_CASE("a move to a version that is bad from the start")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto result = replay(
            plan,
            [](double, double, const std::string&)
            {
                return behaviour{1, 1};
            },
            seed);
        CHECK(result.progress.state == move_state::taken_back);
        CHECK(result.worst_share <= plan.unproved_share);
    }
}

TEST_CASE("a move to a version that becomes bad later")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto result = replay(
            plan,
            [](double second, double, const std::string&)
            {
                return behaviour{second > 300 ? 0.5 : 0.001, 1};
            },
            seed, 300);
        CHECK(result.progress.state == move_state::taken_back);
        CHECK(result.fault_to_end_s <= 5);
    }
}

TEST_CASE("a move to a version that is bad only under load")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto result = replay(
            plan,
            [](double, double share, const std::string&)
            {
                return behaviour{share > 0.3 ? 0.3 : 0.001, 1};
            },
            seed);
        CHECK(result.progress.state == move_state::taken_back);
    }
}

TEST_CASE("a move to a version that is bad only on one route")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto result = replay(
            plan,
            [](double, double, const std::string& route)
            {
                return behaviour{route == "/rare" ? 0.5 : 0.001, 1};
            },
            seed);
        CHECK(result.progress.state == move_state::taken_back);
        CHECK(result.progress.reason == "errors on /rare");
    }
}

TEST_CASE("a move to a version that is three times slower")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto result = replay(
            plan,
            [](double, double, const std::string&)
            {
                return behaviour{0.001, 3};
            },
            seed);
        CHECK(result.progress.state == move_state::taken_back);
        CHECK(result.worst_share <= plan.unproved_share);
    }
}

TEST_CASE("the end of a move")
{
    move_progress local_progress;
    local_progress.state = move_state::ramping;

    SECTION("taken back on another host overrides done")
    {
        merge(local_progress, move_state::done, "");
        merge(local_progress, move_state::taken_back, "errors");
        merge(local_progress, move_state::done, "");
        CHECK(local_progress.state == move_state::taken_back);
        CHECK(local_progress.share == 0);
    }
    SECTION("is final")
    {
        merge(local_progress, move_state::taken_back, "errors");
        const auto after = advance(plan_of_ten_minutes(), local_progress,
                                   {verdict::good, ""}, wall_time_t::max());
        CHECK(after.state == move_state::taken_back);
    }
    SECTION("applies only to an unedited move")
    {
        auto plan = plan_of_ten_minutes();
        const auto key = move_key(plan);
        plan.deadline += minutes(1);
        CHECK(move_key(plan) != key);
    }
}
