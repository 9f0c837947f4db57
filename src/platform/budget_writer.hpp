#pragma once

#include <cstdint> // int64_t, uint64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include <rhubarbgrade/detail/base/error.hpp>          // result
#include <rhubarbgrade/detail/base/types.hpp>          // ledger_id
#include <rhubarbgrade/detail/budget/draw.hpp>         // draw_state
#include <rhubarbgrade/detail/budget/shard.hpp>        // budget_shard
#include <rhubarbgrade/detail/config/settings.hpp>     // settings
#include <rhubarbgrade/detail/platform/bill_batch.hpp> // bill_batch

#include "../control/control_loop.hpp" // control_loop

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

class object_api;

/// @brief Writes bills and balances to the platform; runs on the platform
///        worker's thread.
///
/// All writes are idempotent: batches and draws are numbered, so that a write
/// whose response was lost is recognized when the object is read again.
class budget_writer
{
public:
    budget_writer(const settings& config, control_loop control, object_api& api,
                  std::shared_ptr<spdlog::logger> log);

    /// @brief Stores new bills, settles stored ones and draws tokens, each if
    ///        its interval has elapsed.
    /// @param[in] force  whether to ignore the intervals
    /// @return whether the platform was reachable
    bool run_round(bool force);

    /// @brief Whether no bill, settlement, draw or return is left to be
    ///        written.
    bool idle();

    /// @brief Schedules the settlement of a batch that was stored by a ledger
    ///        that is now closed; settling it again has no effect.
    void adopt_batch(const ledger_id& writer, std::uint64_t number,
                     std::vector<bill> bills);

private:
    struct numbered_batch
    {
        ledger_id writer;
        std::uint64_t number = 0;
        std::vector<bill> bills;
    };

    /// A draw whose write failed without telling whether it took effect.
    struct unconfirmed_draw
    {
        ledger_id writer;
        std::uint64_t number = 0;
        std::map<std::string, token_count_t> returns;
    };

    /// The changes that are due in one shard.
    struct shard_work
    {
        std::map<std::string, draw_state> draws;
        std::map<std::string, token_count_t> returns;
        bool settle = false;

        bool empty() const
        {
            return draws.empty() && returns.empty() && !settle;
        }
    };

    using prepaid_t = std::map<std::string, token_count_t>;

    bool store_bills();
    bool write_shards(bool settle);
    std::map<std::string, shard_work> plan_work(bool settle);
    result<void> write_shard(const std::string& name, shard_work& work,
                             const prepaid_t& prepaid);
    result<void> try_write_shard(const std::string& name, shard_work& work,
                                 const prepaid_t& prepaid);
    void resolve_unconfirmed(const std::string& name, const budget_shard& shard,
                             shard_work& work);
    std::map<std::string, std::int64_t>
    compute_amounts(const budget_shard& shard, const shard_work& work,
                    const prepaid_t& prepaid) const;
    bool settle_batches(const std::string& name, budget_shard& shard) const;
    void finish_settlement();
    bool due(time_point_t& last_run, milliseconds interval, bool force) const;

    const settings& m_settings;
    control_loop m_control;
    object_api& m_api;
    std::shared_ptr<spdlog::logger> m_log;
    /// Batches that are stored but not yet settled in all shards.
    std::vector<numbered_batch> m_unsettled_batches;
    std::map<std::string, unconfirmed_draw> m_unconfirmed_draws; ///< by shard
    std::map<std::string, token_count_t> m_pending_returns; ///< by customer
    time_point_t m_last_store{};
    time_point_t m_last_settlement{};
};

} // namespace rhubarbgrade
