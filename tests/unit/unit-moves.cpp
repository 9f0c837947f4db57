// Traces of traffic during a move, replayed through the decisions.

#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include <rhubarbgrade/rhubarbgrade.hpp>

using namespace rhubarbgrade;

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

/// How the new version behaves at a time and a share.
struct behaviour
{
    double error_rate = 0.001;
    double slow_factor = 1;
};

using behaviour_t = std::function<behaviour(double second, double share,
                                            const std::string& route)>;

struct outcome
{
    move_progress last;
    double worst_share = 0; ///< of the requests up to any time
    double seconds_to_end = -1;
    double exposed_after_fault = 0; ///< seconds between fault and take-back
};

move plan_of_ten_minutes()
{
    move plan;
    plan.name = "m";
    plan.start = wall_time_t(seconds(1000));
    plan.deadline = plan.start + minutes(10);
    return plan;
}

/// Replays twenty requests a second on two routes.
outcome replay(const move& plan, const behaviour_t& acts, unsigned seed,
               double fault_at = 0)
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> latency(std::log(0.2), 0.3);
    std::uniform_real_distribution<double> uniform;
    move_evidence_t evidence;
    outcome seen;
    std::map<std::string, double> credit;
    std::map<std::string, double> to_count;
    std::map<std::string, double> count;
    for (double second = 0; second < 700; second += 0.25)
    {
        for (int request = 0; request < 5; ++request)
        {
            const std::string route = request == 0 ? "/rare" : "/usual";
            credit[route] += seen.last.share;
            const bool to = credit[route] >= 1;
            credit[route] -= to ? 1 : 0;
            count[route]++;
            to_count[route] += to ? 1 : 0;
            seen.worst_share =
                std::max(seen.worst_share, to_count[route] / count[route]);
            const auto now =
                to ? acts(second, seen.last.share, route) : behaviour{};
            const bool good = uniform(random) >= now.error_rate;
            const double time = latency(random) * now.slow_factor;
            add_sample(evidence[route], to, good, time);
        }
        decay(evidence, 0.25);
        const auto before = seen.last.state;
        const auto wall =
            plan.start + milliseconds(static_cast<long>(second * 1000));
        seen.last = advance(plan, seen.last, judge(plan, evidence), wall);
        const bool ended = seen.last.state == move_state::done ||
                           seen.last.state == move_state::taken_back;
        if (ended && before != seen.last.state)
        {
            seen.seconds_to_end = second;
            seen.exposed_after_fault = second - fault_at;
            break;
        }
    }
    return seen;
}

} // namespace

TEST_CASE("a move to a good version")
{
    const auto plan = plan_of_ten_minutes();
    int done = 0;
    int taken_back = 0;
    for (unsigned seed = 1; seed <= 100; ++seed)
    {
        const auto seen = replay(
            plan,
            [](double, double, const std::string&)
            {
                return behaviour{};
            },
            seed);
        done +=
            seen.last.state == move_state::done && seen.seconds_to_end <= 600
                ? 1
                : 0;
        taken_back += seen.last.state == move_state::taken_back ? 1 : 0;
    }
    CHECK(taken_back == 0);
    CHECK(done == 100);
}

TEST_CASE("a move to a version that is bad at once")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto seen = replay(
            plan,
            [](double, double, const std::string&)
            {
                return behaviour{1, 1};
            },
            seed);
        CHECK(seen.last.state == move_state::taken_back);
        CHECK(seen.worst_share <= plan.unproved_share);
    }
}

TEST_CASE("a move to a version that becomes bad later")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto seen = replay(
            plan,
            [](double second, double, const std::string&)
            {
                return behaviour{second > 300 ? 0.5 : 0.001, 1};
            },
            seed, 300);
        CHECK(seen.last.state == move_state::taken_back);
        CHECK(seen.exposed_after_fault <= 5);
    }
}

TEST_CASE("a move to a version that is bad only under load")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto seen = replay(
            plan,
            [](double, double share, const std::string&)
            {
                return behaviour{share > 0.3 ? 0.3 : 0.001, 1};
            },
            seed);
        CHECK(seen.last.state == move_state::taken_back);
    }
}

TEST_CASE("a move to a version that is bad only on one route")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto seen = replay(
            plan,
            [](double, double, const std::string& route)
            {
                return behaviour{route == "/rare" ? 0.5 : 0.001, 1};
            },
            seed);
        CHECK(seen.last.state == move_state::taken_back);
        CHECK(seen.last.reason == "errors on /rare");
    }
}

TEST_CASE("a move to a version that is three times slower")
{
    const auto plan = plan_of_ten_minutes();
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const auto seen = replay(
            plan,
            [](double, double, const std::string&)
            {
                return behaviour{0.001, 3};
            },
            seed);
        CHECK(seen.last.state == move_state::taken_back);
        CHECK(seen.worst_share <= plan.unproved_share);
    }
}

TEST_CASE("the end of a move")
{
    move_progress mine;
    mine.state = move_state::ramping;

    SECTION("taken back elsewhere wins, also over done")
    {
        merge(mine, move_state::done, "");
        merge(mine, move_state::taken_back, "errors");
        merge(mine, move_state::done, "");
        CHECK(mine.state == move_state::taken_back);
        CHECK(mine.share == 0);
    }
    SECTION("is final")
    {
        merge(mine, move_state::taken_back, "errors");
        const auto after = advance(plan_of_ten_minutes(), mine,
                                   {verdict::good, ""}, wall_time_t::max());
        CHECK(after.state == move_state::taken_back);
    }
    SECTION("belongs to the move as it was written")
    {
        auto plan = plan_of_ten_minutes();
        const auto key = move_key(plan);
        plan.deadline += minutes(1);
        CHECK(move_key(plan) != key);
    }
}
