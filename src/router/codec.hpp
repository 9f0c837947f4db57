#pragma once

#include <rhubarbgrade/detail/base/types.hpp>       // ledger_id
#include <rhubarbgrade/detail/budget/operation.hpp> // operation

#include "protocol.capnp.h" // protocol

namespace rhubarbgrade
{

/// @brief Writes a ledger id into a message.
void write(protocol::LedgerId::Builder to, const ledger_id& id);

/// @brief Reads a ledger id from a message.
ledger_id read(protocol::LedgerId::Reader from);

/// @brief Writes an operation into a message.
void write(protocol::Operation::Builder to, const operation& step);

/// @brief Reads an operation from a message.
operation read(protocol::Operation::Reader from);

} // namespace rhubarbgrade
