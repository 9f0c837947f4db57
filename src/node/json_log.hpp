#pragma once

#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

#include <spdlog/formatter.h> // formatter

namespace rhubarbgrade
{

/// @brief Text as the inside of a JSON string.
std::string json_escaped(std::string_view text);

/// @brief Formats each log message as a JSON object on a line of its own.
/// @param[in] host  name of this host, a member of each object
std::unique_ptr<spdlog::formatter> make_json_formatter(std::string_view host);

} // namespace rhubarbgrade
