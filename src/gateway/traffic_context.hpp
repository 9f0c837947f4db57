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
#include <rhubarbgrade/detail/routing/shared_retry.hpp> // retry_counts

#include "endpoint_directory.hpp" // endpoint_directory
#include "room_queue.hpp"         // room_queue
#include "wallet_table.hpp"       // wallet_table

namespace rhubarbgrade
{

class caller_session;

/// @brief One answered or failed attempt, as moves are judged by.
struct version_sample
{
    std::string service;
    std::string version;
    std::string route;
    bool good = false;
    double latency_s = -1; ///< to the first byte; below 0 if there was none
};

/// @brief Counts of the traffic thread, for metrics.
struct traffic_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t retried = 0;
    std::uint64_t left = 0; ///< the caller went first
};

/// @brief What the sessions of the traffic thread share.
struct traffic_context
{
    traffic_context(const boost::asio::any_io_executor& with_executor,
                    const node_settings& with_settings,
                    const random_source_t& with_random,
                    std::function<void()> tokens_wanted,
                    std::function<void(const version_sample&)> with_sample,
                    std::function<void(std::uint64_t)> crashed)
        : executor(with_executor),
          bounds(with_settings.bounds),
          random(with_random),
          directory(with_executor, with_settings.zone, with_random,
                    std::move(crashed)),
          wallets(with_executor, std::move(tokens_wanted)),
          room(with_executor),
          sample(std::move(with_sample))
    {
    }

    boost::asio::any_io_executor executor;
    node_bounds bounds; ///< as last read
    random_source_t random;
    fleet_view_ptr_t view = std::make_shared<fleet_view>();
    endpoint_directory directory;
    wallet_table wallets;
    room_queue room;
    std::function<void(const version_sample&)> sample;
    std::map<std::string, retry_counts, std::less<>> retries; ///< by service
    traffic_counters counters;
    std::set<caller_session*> sessions; ///< each leaves it as it ends
    std::size_t in_flight = 0;          ///< requests being answered
    bool stopping = false; ///< asked to stop: connections end with an answer
};

} // namespace rhubarbgrade
