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

/// @brief Writes bills and balances to the platform.
///
/// Every write is idempotent: batches have numbers, draws have numbers, and a
/// write whose answer was lost is found in the object when it is next read.
class budget_writer
{
public:
    budget_writer(const settings& read, control_loop control, object_api& api,
                  std::shared_ptr<spdlog::logger> log);

    /// @brief Writes the bills made since, settles and draws where due.
    /// @param[in] all  whether to do everything now, due or not
    /// @return whether the platform answered
    bool round(bool all);

    /// @brief Whether no bill, settlement or return is waiting to be written.
    bool idle();

    /// @brief Takes over a batch that a closed ledger stored and may not have
    ///        settled.
    void adopt_batch(const ledger_id& writer, std::uint64_t number,
                     std::vector<bill> bills);

private:
    struct numbered_batch
    {
        ledger_id writer;
        std::uint64_t number = 0;
        std::vector<bill> bills;
    };

    struct lost_draw
    {
        ledger_id writer;
        std::uint64_t number = 0;
        std::map<std::string, token_count_t> returns;
    };

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
    std::map<std::string, shard_work> plan(bool settle);
    result<void> write_shard(const std::string& name, shard_work& work,
                             const prepaid_t& prepaid);
    result<void> try_shard(const std::string& name, shard_work& work,
                           const prepaid_t& prepaid);
    void resolve_lost(const std::string& name, const budget_shard& shard,
                      shard_work& work);
    std::map<std::string, std::int64_t> wanted(const budget_shard& shard,
                                               const shard_work& work,
                                               const prepaid_t& prepaid) const;
    bool settle_pending(const std::string& name, budget_shard& shard) const;
    void drop_settled();
    bool due(time_point_t& last, milliseconds interval, bool all) const;

    const settings& m_settings;
    control_loop m_control;
    object_api& m_api;
    std::shared_ptr<spdlog::logger> m_log;
    std::vector<numbered_batch> m_pending;   ///< stored, not settled everywhere
    std::map<std::string, lost_draw> m_lost; ///< by shard
    std::map<std::string, token_count_t> m_returns;
    time_point_t m_stored{};
    time_point_t m_settled{};
};

} // namespace rhubarbgrade
