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

/// @brief Synchronizes control state with the platform on a thread of its own.
///
/// Each round reads the host list, registers and closes ledgers, writes bills
/// and balances, and exchanges the results of moves. Steps that fail are
/// retried in the next round.
class platform_worker
{
public:
    platform_worker(const settings& config, control_loop control,
                    std::shared_ptr<spdlog::logger> log);
    ~platform_worker();

    /// @brief Starts the next round at once; may be called from any thread.
    void wake();

    /// @brief Stops the thread, then settles all bills, returns the tokens held
    ///        and removes the ledger, as far as the platform is reachable.
    void leave();

private:
    void run(const std::stop_token& stop);
    void run_round();
    void read_hosts();
    void exchange_move_ends();
    bool due(time_point_t& last_run, milliseconds interval);

    settings m_settings;
    control_loop m_control;
    std::shared_ptr<spdlog::logger> m_log;
    object_api m_api;
    budget_writer m_budgets;
    ledger_registrar m_registrar;
    time_point_t m_last_host_read{};
    time_point_t m_last_move_exchange{};
    std::set<std::string> m_moves_written;
    std::mutex m_mutex;
    std::condition_variable_any m_wake_condition;
    bool m_wake = false;
    std::jthread m_thread;
};

} // namespace rhubarbgrade
