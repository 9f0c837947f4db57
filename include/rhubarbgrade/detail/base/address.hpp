#pragma once

#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair

namespace rhubarbgrade
{

/// @brief Splits "ip:port" into address and port.
/// @return the port is -1 if it is missing or not a number
std::pair<std::string, int> split_address(std::string_view address);

} // namespace rhubarbgrade
