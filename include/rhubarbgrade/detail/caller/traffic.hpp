#pragma once

#include <atomic> // atomic
#include <memory> // shared_ptr
#include <mutex>  // mutex

#include <rhubarbgrade/detail/config/settings.hpp>    // settings
#include <rhubarbgrade/detail/routing/quarantine.hpp> // quarantine
#include <rhubarbgrade/detail/routing/retry.hpp>      // retry_budget

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

class claim_registry;
class control_plane;
class endpoint_table;
class metrics;
class objective_log;

/// @brief What the handlers of caller requests work with; shared by all
///        traffic threads.
struct traffic
{
    const settings& config;
    control_plane& control;
    endpoint_table& endpoints;
    claim_registry& claims;
    metrics& measures;
    objective_log& objectives;
    std::shared_ptr<spdlog::logger> log;

    std::atomic<int> active{0}; ///< requests being served
    std::mutex mutex{};         ///< guards the members below
    retry_budget retries{};
    quarantine crashes{}; ///< counted here, not yet told to the zone
};

} // namespace rhubarbgrade
