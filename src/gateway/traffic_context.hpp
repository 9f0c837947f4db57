#pragma once

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <set>        // set
#include <string>     // string

#include <boost/asio/any_io_executor.hpp> // any_io_executor

#include <rhubarbgrade/detail/fleet/fleet_view.hpp>     // fleet_view_ptr_t
#include <rhubarbgrade/detail/fleet/node_settings.hpp>  // node_settings
#include <rhubarbgrade/detail/routing/choose.hpp>       // random_source_t
#include <rhubarbgrade/detail/routing/hedge.hpp>        // hedge_limit
#include <rhubarbgrade/detail/routing/planned_stop.hpp> // planned_stop
#include <rhubarbgrade/detail/routing/shared_retry.hpp> // retry_counts

#include "caller_budget.hpp"      // caller_budget
#include "crash_detector.hpp"     // crash_detector
#include "endpoint_directory.hpp" // endpoint_directory
#include "room_queue.hpp"         // endpoint_wait_queue
#include "wallet_table.hpp"       // wallet_table

namespace rhubarbgrade
{

class caller_exchange;
class caller_session;
class relay_session;

/// @brief Result of one attempt, as evidence for moves between versions.
struct version_sample
{
    std::string service;
    std::string version;
    std::string route;
    bool good = false;
    double latency_s = -1; ///< to the first byte; below 0 if none came
};

/// @brief Counters of the traffic thread, for metrics.
struct traffic_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t retried = 0;
    std::uint64_t hedged = 0;       ///< sent to a second endpoint, being late
    std::uint64_t hedges_won = 0;   ///< of these, answered by the second one
    std::uint64_t disconnected = 0; ///< by the caller, before the end
    std::uint64_t unanswered = 0;   ///< ended without a whole answer
    std::uint64_t discarded = 0;    ///< connections closed with unserved input
    // Refusals by cause.
    std::uint64_t unbounded = 0;   ///< a budget pays, no limit of tokens
    std::uint64_t exhausted = 0;   ///< the budget is used up
    std::uint64_t undrawn = 0;     ///< the holding is too small
    std::uint64_t unconfirmed = 0; ///< the witness has not confirmed enough
    std::uint64_t no_draws = 0;    ///< the store takes no draws at present
    std::uint64_t no_endpoint = 0; ///< no endpoint has a free slot
    std::uint64_t no_path = 0;     ///< this host reaches none, nor a relay
    std::uint64_t quarantined = 0; ///< has crashed endpoints
    std::uint64_t no_capacity =
        0;                     ///< request limits used up, engines saturated
    std::uint64_t no_room = 0; ///< memory or descriptors for callers used up
};

/// @brief State shared by all sessions; used by the traffic thread only.
struct traffic_context
{
    traffic_context(const boost::asio::any_io_executor& with_executor,
                    const node_settings& with_settings,
                    const random_source_t& with_random,
                    std::function<void()> on_tokens_needed,
                    std::function<void(const version_sample&)> sample_handler,
                    crash_listener crashes,
                    std::function<void(const limit_observation&)> on_limit,
                    std::function<void()> on_reach)
        : executor(with_executor),
          bounds(with_settings.bounds),
          callers(caller_limits_of(with_settings)),
          random(with_random),
          directory(with_executor, with_settings.zone, with_random,
                    std::move(on_limit), std::move(on_reach)),
          detector(with_executor, directory, std::move(crashes)),
          wallets(with_executor, std::move(on_tokens_needed)),
          wait_queue(with_executor),
          on_sample(std::move(sample_handler))
    {
    }

    boost::asio::any_io_executor executor;
    node_bounds bounds; ///< current values, can change while running
    caller_budget callers;
    random_source_t random;
    fleet_view_ptr_t view = std::make_shared<fleet_view>();
    endpoint_directory directory;
    crash_detector detector;
    wallet_table wallets;
    endpoint_wait_queue wait_queue;
    std::function<void(const version_sample&)> on_sample;
    std::map<std::string, retry_counts, std::less<>> retries;  ///< by service
    hedge_limit hedge;                                         ///< constant
    std::map<std::string, route_hedging, std::less<>> hedging; ///< by route
    /// Number of the last trial made with a quarantined suspect, by its id.
    std::map<std::uint64_t, int> trials;
    traffic_counters counters;
    std::set<caller_session*> sessions; ///< open; they remove themselves
    std::size_t in_flight = 0;          ///< requests of callers
    std::size_t reading = 0;            ///< requests that have begun to arrive
    std::set<caller_exchange*> exchanges; ///< running; they remove themselves
    std::set<relay_session*> relays;      ///< the same
    bool stopping = false; ///< connections are closed after their response
    planned_stop stop;     ///< if stopping
};

} // namespace rhubarbgrade
