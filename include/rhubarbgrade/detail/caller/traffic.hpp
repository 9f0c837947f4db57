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

/// @brief Dependencies and state of the handlers of caller requests, shared by
///        all threads that serve callers.
struct serving_context
{
    const settings& config;
    control_plane& control;
    endpoint_table& endpoints;
    claim_registry& claims;
    metrics& metric_registry;
    objective_log& objectives;
    std::shared_ptr<spdlog::logger> log;

    std::atomic<int> active_requests{0}; ///< requests being served
    std::mutex mutex{};                  ///< guards the members below
    retry_budget retries{};
    /// Crashes seen by this router; the zone learns only of requests that are
    /// quarantined.
    quarantine crashes{};
};

} // namespace rhubarbgrade
