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

/// @brief Registers and closes ledgers and assigns second hosts, all through
///        the ledger table on the platform.
///
/// Runs on the platform worker's thread. Unless noted otherwise, a step that
/// fails is retried in the next round.
class ledger_registrar
{
public:
    ledger_registrar(const settings& config, control_loop control,
                     object_api& api, budget_writer& budgets,
                     std::shared_ptr<spdlog::logger> log);

    /// @brief Registers this host's ledger, or assigns a second host to it, if
    ///        that is due.
    void pair_own();

    /// @brief Closes the ledgers of unresponsive or restarted hosts whose
    ///        second host is this one, and adopts them.
    void close_others();

    /// @brief Records the ledgers of this host that have ended, and reads
    ///        which ledgers of other hosts have ended.
    void exchange_ended();

    /// @brief Removes this host's ledger, which must be empty, from the table;
    ///        not retried on failure.
    void end_own(const ledger_id& id);

private:
    struct stored_table
    {
        std::uint64_t version = 0;
        ledger_table table;
    };

    result<stored_table> read_table();
    result<void> write_table(const stored_table& current);
    void register_own(stored_table& current);
    void renew_own(stored_table& current, const ledger_id& id);
    void close_ledger(const ledger_id& id);
    result<void> record_closed(const ledger_id& id);

    /// Ends the batches of a closed ledger and schedules their settlement.
    /// @return requests whose bills are stored, unknown to the replica
    result<std::set<std::string>> seal_batches(const ledger_id& id);

    /// Creates an empty last batch, so that the former owner can't store bills
    /// under this number, or reads the batch that is stored there.
    result<bill_batch> read_or_seal(const ledger_id& id, std::uint64_t number);

    /// Requests of this host's ledger whose bills were stored without the
    /// acknowledgement being received.
    result<std::set<std::string>> stored_requests_of_own(const ledger_id& id);

    const settings& m_settings;
    control_loop m_control;
    object_api& m_api;
    budget_writer& m_budgets;
    std::shared_ptr<spdlog::logger> m_log;
    bool m_earlier_ledgers_marked = false; ///< as ended, by this process
};

} // namespace rhubarbgrade
