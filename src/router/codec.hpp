#pragma once

#include <rhubarbgrade/detail/base/types.hpp>       // ledger_id
#include <rhubarbgrade/detail/budget/operation.hpp> // operation

#include "protocol.capnp.h" // protocol

namespace rhubarbgrade
{

/// @brief Serializes a ledger id.
void write(protocol::LedgerId::Builder to, const ledger_id& id);

/// @brief Deserializes a ledger id.
ledger_id read(protocol::LedgerId::Reader from);

/// @brief Serializes a ledger operation.
void write(protocol::Operation::Builder to, const operation& step);

/// @brief Deserializes a ledger operation; one that is unknown to this version
///        becomes an operation that does not change the ledger.
operation read(protocol::Operation::Reader from);

} // namespace rhubarbgrade
