#pragma once

#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair

namespace rhubarbgrade
{

/// @brief Splits "ip:port"; port -1 if there is none.
std::pair<std::string, int> split_address(std::string_view address);

} // namespace rhubarbgrade
