#pragma once

#include <cstdint>     // uint64_t
#include <map>         // map
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/error.hpp>    // result
#include <rhubarbgrade/detail/base/types.hpp>    // ledger_id, token_count_t
#include <rhubarbgrade/detail/budget/ledger.hpp> // bill

namespace rhubarbgrade
{

/// @brief One customer's line in a shard: what zones took and settled so far.
struct shard_account
{
    std::map<std::string, token_count_t> granted; ///< by zone, less returns
    std::map<std::string, token_count_t> settled; ///< by zone
};

/// @brief What one ledger last wrote into a shard; makes its writes idempotent.
struct shard_writer
{
    std::uint64_t batch = 0; ///< last batch of bills settled here
    std::uint64_t draw = 0;  ///< number of the last draw
    std::map<std::string, std::int64_t> drawn; ///< its amounts, < 0: returned
};

/// @brief A platform object with the balances of many customers.
struct budget_shard
{
    std::map<std::string, shard_account> customers;
    std::map<std::string, shard_writer> writers; ///< by ledger id
};

/// @brief Shards that the customers are spread over.
constexpr std::size_t shard_count = 16;

/// @brief The name of the platform object that holds @a customer's balance.
std::string shard_name(std::string_view customer);

/// @brief Granted over all zones; prepaid less this is free.
token_count_t granted_total(const shard_account& line);

/// @brief Settled over all zones.
token_count_t settled_total(const shard_account& line);

/// @brief Settles the bills of a batch once.
/// @param[in,out] shard  the balances; unchanged if the batch was settled
/// @param[in] writer     the ledger whose batch it is
/// @param[in] zone       the writer's zone
/// @param[in] batch      number of the batch, from 1
/// @param[in] bills      all bills of the batch; those of other shards pass
/// @return whether anything changed
bool settle_batch(budget_shard& shard, const ledger_id& writer,
                  std::string_view zone, std::uint64_t batch,
                  std::span<const bill> bills);

/// @brief Draws or returns tokens of several customers in one step.
/// @param[in,out] shard  the balances
/// @param[in] writer     the ledger that draws
/// @param[in] zone       the writer's zone
/// @param[in] wanted     amounts, below 0 to return
/// @param[in] prepaid    what each of these customers has prepaid in all
/// @return the amounts that were entered, cut to what is free
std::map<std::string, std::int64_t>
draw_tokens(budget_shard& shard, const ledger_id& writer, std::string_view zone,
            const std::map<std::string, std::int64_t>& wanted,
            const std::map<std::string, token_count_t>& prepaid);

/// @brief Reads a shard from its JSON text; an empty text is an empty shard.
result<budget_shard> parse_shard(std::string_view text);

/// @brief Writes a shard as JSON text.
std::string to_text(const budget_shard& shard);

} // namespace rhubarbgrade
