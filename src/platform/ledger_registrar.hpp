#pragma once

#include <cstdint> // uint64_t
#include <memory>  // shared_ptr
#include <set>     // set
#include <string>  // string

#include <rhubarbgrade/detail/base/error.hpp>            // result
#include <rhubarbgrade/detail/base/types.hpp>            // ledger_id
#include <rhubarbgrade/detail/config/settings.hpp>       // settings
#include <rhubarbgrade/detail/platform/bill_batch.hpp>   // bill_batch
#include <rhubarbgrade/detail/platform/ledger_table.hpp> // ledger_table

#include "../control/control_loop.hpp" // control_loop

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

class budget_writer;
class object_api;

/// @brief Registers, pairs and closes ledgers through the platform.
class ledger_registrar
{
public:
    ledger_registrar(const settings& read, control_loop control,
                     object_api& api, budget_writer& budgets,
                     std::shared_ptr<spdlog::logger> log);

    /// @brief Registers or pairs this host's ledger if that is due.
    void pair_own();

    /// @brief Closes the ledgers of silent or restarted hosts.
    void close_others();

    /// @brief Records which ledgers no process acts for any more, and learns
    ///        of those that others recorded.
    void exchange_ended();

    /// @brief Removes this host's ledger; it holds nothing any more.
    void end_own(const ledger_id& id);

private:
    struct stored_table
    {
        std::uint64_t version = 0;
        ledger_table table;
    };

    result<stored_table> read_table();
    result<void> write_table(const stored_table& read);
    void register_own(stored_table& read);
    void renew_own(stored_table& read, const ledger_id& id);
    void close_ledger(const ledger_id& id);
    result<void> record_closed(const ledger_id& id);
    result<std::set<std::string>> seal_batches(const ledger_id& id);
    result<bill_batch> read_or_seal(const ledger_id& id, std::uint64_t number);
    result<std::set<std::string>> own_stored(const ledger_id& id);

    const settings& m_settings;
    control_loop m_control;
    object_api& m_api;
    budget_writer& m_budgets;
    std::shared_ptr<spdlog::logger> m_log;
    bool m_marked_earlier = false;
};

} // namespace rhubarbgrade
