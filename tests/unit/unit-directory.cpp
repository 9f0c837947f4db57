// Choice of endpoints by a host: versions on trial, and the wait of requests
// that no endpoint can take.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <platform/caller_codec.hpp>

#include "../../src/gateway/endpoint_directory.hpp"

using namespace rhubarbgrade;
using std::chrono::hours;

namespace
{

const time_point_t start = time_point_t{} + hours(1);

/// A service with four endpoints of a proven version and two of one on trial.
class trial_fleet
{
public:
    explicit trial_fleet(double share)
    {
        auto view = std::make_shared<fleet_view>();
        auto configuration = std::make_shared<deployment>();
        configuration->services["s"].engine.emplace();
        view->configuration = configuration;
        for (int i = 0; i < 6; ++i)
        {
            endpoint_entry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "s";
            entry.version = i < 4 ? "proven" : "trial";
            entry.slots = 1000;
            view->endpoints.push_back(entry);
        }
        view->splits["s"] = {"trial", share};
        m_directory.update(view);
    }

    /// Reports long queues at all endpoints of the proven version.
    void saturate_proven()
    {
        endpoint_criteria criteria;
        criteria.service = "s";
        criteria.version_draw = 1;
        platform::response_head busy;
        busy.running = 8;
        busy.waiting = 40;
        busy.slots = 8;
        while (const auto endpoint = m_directory.choose(criteria, start))
            m_directory.record_load(*endpoint, busy, start);
    }

    /// The version that the request is sent to; empty if it has to wait.
    std::string choose(double draw)
    {
        endpoint_criteria criteria;
        criteria.service = "s";
        criteria.version_draw = draw;
        const auto chosen = m_directory.choose(criteria, start);
        return chosen ? chosen->entry.version : std::string();
    }

    std::optional<milliseconds> capacity_wait(double draw) const
    {
        endpoint_criteria criteria;
        criteria.service = "s";
        criteria.version_draw = draw;
        return m_directory.capacity_wait(criteria, start);
    }

    /// The version that a request is sent to after one that failed at an
    /// endpoint of the version on trial.
    std::string choose_after_failed_trial()
    {
        endpoint_criteria criteria;
        criteria.service = "s";
        criteria.version_draw = 0;
        const std::vector<endpoint_ptr_t> tried{
            m_directory.choose(criteria, start)};
        REQUIRE(tried[0]->entry.version == "trial");
        criteria.tried = tried;
        const auto chosen = m_directory.choose(criteria, start);
        return chosen ? chosen->entry.version : std::string();
    }

private:
    std::mt19937_64 m_numbers{24};
    boost::asio::io_context m_io;
    endpoint_directory m_directory{m_io.get_executor(), "z1",
                                   [this]
                                   {
                                       return m_numbers();
                                   },
                                   [](const limit_observation&) {}, [] {}};
};

} // namespace

TEST_CASE("waiting for an endpoint does not raise the share of a version on "
          "trial",
          "[directory]")
{
    constexpr double share = 0.05;
    constexpr int requests = 1000;
    constexpr int choices_per_request = 30;
    trial_fleet fleet(share);
    fleet.saturate_proven();
    int exposed = 0;
    for (int i = 0; i < requests; ++i)
    {
        const double draw = (i + 0.5) / requests;
        std::string version;
        for (int j = 0; version.empty() && j < choices_per_request; ++j)
            version = fleet.choose(draw);
        exposed += version == "trial" ? 1 : 0;
    }
    CHECK(exposed == share * requests);
}

TEST_CASE("a request that may not go to a version on trial does not wait for "
          "its endpoints",
          "[directory]")
{
    trial_fleet fleet(0.05);
    CHECK_FALSE(fleet.capacity_wait(0.5));
    fleet.saturate_proven();
    CHECK(fleet.capacity_wait(0.5));
    CHECK_FALSE(fleet.capacity_wait(0.01));
}

TEST_CASE("a request that failed at a version on trial is repeated at the "
          "proven one",
          "[directory]")
{
    CHECK(trial_fleet(0.05).choose_after_failed_trial() == "proven");
    CHECK(trial_fleet(1).choose_after_failed_trial() == "trial");
}

TEST_CASE("all requests go to a version whose share is one", "[directory]")
{
    trial_fleet fleet(1);
    CHECK(fleet.choose(0.999) == "trial");
    CHECK(fleet.choose(0) == "trial");
}
