#pragma once

#include <cstdint> // uint64_t

namespace rhubarbgrade
{

/// @brief The time of day in milliseconds since 1970; numbers incarnations
///        and issued keys.
std::uint64_t wall_milliseconds();

} // namespace rhubarbgrade
