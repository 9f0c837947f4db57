#pragma once

#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

#include <rhubarbgrade/detail/base/errc.hpp>      // errc
#include <rhubarbgrade/detail/config/objects.hpp> // source_location

namespace rhubarbgrade
{

/// @brief An error in a TOML file, with its position.
struct problem
{
    std::error_code code;
    source_location where;
    std::string text;

    /// @brief Formats the error as "file:line: [stable id] text".
    std::string message() const;
};

using problems_t = std::vector<problem>;

} // namespace rhubarbgrade
