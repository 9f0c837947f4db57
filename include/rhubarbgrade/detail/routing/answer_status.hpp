#pragma once

namespace rhubarbgrade
{

/// @brief What the status of an answer's head says about the answer.
enum class status_kind
{
    interim, ///< another head follows
    final,   ///< this is the answer's head
    invalid, ///< no answer in HTTP
};

/// @brief Decides what a status says.
///
/// A connection is never switched to another protocol, so 101 is invalid too.
/// @param[in] framed  the head announces a body, which no interim head has
status_kind kind_of_status(unsigned status, bool framed);

} // namespace rhubarbgrade
