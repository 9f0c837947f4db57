#pragma once

#include <cstdint> // uint64_t

namespace rhubarbgrade
{

/// @brief Wall-clock time in milliseconds since 1970; used to number
///        incarnations and issued idempotency keys.
std::uint64_t wall_milliseconds();

} // namespace rhubarbgrade
