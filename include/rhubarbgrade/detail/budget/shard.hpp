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

/// @brief A customer's entry in a shard: tokens drawn and settled, by zone.
struct shard_account
{
    std::map<std::string, token_count_t> granted; ///< net draws, by zone
    std::map<std::string, token_count_t> settled; ///< billed, by zone
};

/// @brief The last writes of one ledger to a shard, kept so that a repeated
///        write has no effect.
struct shard_writer
{
    std::uint64_t batch = 0; ///< last batch of bills settled here
    std::uint64_t draw = 0;  ///< number of the last draw
    std::map<std::string, std::int64_t> drawn; ///< last amounts, < 0: returned
};

/// @brief The balances of many customers, kept in one object of the platform's
///        object store.
struct budget_shard
{
    std::map<std::string, shard_account> customers;
    std::map<std::string, shard_writer> writers; ///< by ledger id
};

/// @brief Number of shards that the customers are distributed over by hash.
constexpr std::size_t shard_count = 16;

/// @brief The name of the stored object that holds @a customer's balance.
std::string shard_name(std::string_view customer);

/// @brief Tokens granted to all zones; prepaid tokens minus this are free.
token_count_t granted_total(const shard_account& entry);

/// @brief Tokens settled in all zones.
token_count_t settled_total(const shard_account& entry);

/// @brief Settles the bills of a batch, once.
/// @param[in,out] shard  the balances; unchanged if the batch was settled
/// @param[in] writer     the ledger whose batch it is
/// @param[in] zone       the writer's zone
/// @param[in] batch      number of the batch, from 1
/// @param[in] bills      bills of the batch for customers of this shard
/// @return whether anything changed
bool settle_batch(budget_shard& shard, const ledger_id& writer,
                  std::string_view zone, std::uint64_t batch,
                  std::span<const bill> bills);

/// @brief Draws or returns tokens of several customers in one write.
/// @param[in,out] shard  the balances
/// @param[in] writer     the ledger that draws
/// @param[in] zone       the writer's zone
/// @param[in] requested  amounts by customer, negative to return
/// @param[in] prepaid    total prepaid tokens by customer
/// @return the amounts applied, limited to the free tokens
std::map<std::string, std::int64_t>
draw_tokens(budget_shard& shard, const ledger_id& writer, std::string_view zone,
            const std::map<std::string, std::int64_t>& requested,
            const std::map<std::string, token_count_t>& prepaid);

/// @brief Parses the JSON text of a shard; an empty text is an empty shard.
/// @return the shard, or @ref errc::malformed
result<budget_shard> parse_shard(std::string_view text);

/// @brief Encodes a shard as JSON text.
std::string to_text(const budget_shard& shard);

} // namespace rhubarbgrade
