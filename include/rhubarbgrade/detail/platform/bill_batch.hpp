#pragma once

#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/error.hpp>    // result
#include <rhubarbgrade/detail/base/types.hpp>    // ledger_id
#include <rhubarbgrade/detail/budget/ledger.hpp> // bill

namespace rhubarbgrade
{

/// @brief A numbered batch of bills of one ledger, written once.
struct bill_batch
{
    std::string zone;
    std::vector<bill> bills;
    bool last = false; ///< written by whoever closed the ledger: no more come
};

/// @brief Name of the platform object that holds a batch.
std::string bill_batch_name(const ledger_id& id, std::uint64_t number);

/// @brief Reads a batch from its JSON text.
result<bill_batch> parse_bill_batch(std::string_view text);

/// @brief Writes a batch as JSON text.
std::string to_text(const bill_batch& batch);

} // namespace rhubarbgrade
