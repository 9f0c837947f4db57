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

/// @brief A batch of bills of one ledger. A batch is stored under a sequence
///        number and never changed afterwards.
struct bill_batch
{
    std::string zone;
    std::vector<bill> bills;
    /// Marks the end of the batches; written by the host that closed the
    /// ledger.
    bool last = false;
};

/// @brief Name of the platform object that stores a batch.
std::string bill_batch_name(const ledger_id& id, std::uint64_t number);

/// @brief Parses a batch from its JSON text.
/// @return the batch, or @ref errc::malformed
result<bill_batch> parse_bill_batch(std::string_view text);

/// @brief Serializes a batch as JSON text.
std::string to_text(const bill_batch& batch);

} // namespace rhubarbgrade
