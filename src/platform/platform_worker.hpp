#pragma once

#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <map>                // map
#include <memory>             // shared_ptr
#include <mutex>              // mutex
#include <set>                // set
#include <string>             // string
#include <thread>             // jthread
#include <vector>             // vector

#include <rhubarbgrade/detail/base/types.hpp>          // ledger_id
#include <rhubarbgrade/detail/config/settings.hpp>     // settings
#include <rhubarbgrade/detail/platform/object_api.hpp> // object_api

#include "../control/control_loop.hpp" // control_loop
#include "budget_writer.hpp"           // budget_writer
#include "ledger_registrar.hpp"        // ledger_registrar

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

/// @brief The thread that writes control state to the platform.
///
/// One round at a time: host list, pairing, closing of ledgers, bills,
/// balances, moves. What a round can't do, the next one tries again.
class platform_worker
{
public:
    platform_worker(const settings& read, control_loop control,
                    std::shared_ptr<spdlog::logger> log);
    ~platform_worker();

    /// @brief Starts a round at once.
    void wake();

    /// @brief Settles everything, returns the tokens held and ends the
    ///        ledger, if the platform answers; then stops.
    void leave();

private:
    void run(const std::stop_token& stop);
    void round();
    void read_hosts();
    void exchange_moves();
    bool due(time_point_t& last, milliseconds interval);

    settings m_settings;
    control_loop m_control;
    std::shared_ptr<spdlog::logger> m_log;
    object_api m_api;
    budget_writer m_budgets;
    ledger_registrar m_registrar;
    time_point_t m_hosts_read{};
    time_point_t m_moves_read{};
    std::set<std::string> m_moves_written;
    std::mutex m_mutex;
    std::condition_variable_any m_woken;
    bool m_wake = false;
    std::jthread m_thread;
};

} // namespace rhubarbgrade
