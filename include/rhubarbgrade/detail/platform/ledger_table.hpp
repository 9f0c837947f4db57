#pragma once

#include <cstdint>     // uint64_t
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/error.hpp> // result
#include <rhubarbgrade/detail/base/types.hpp> // ledger_id

namespace rhubarbgrade
{

/// @brief A ledger of a zone as the platform records it.
struct ledger_row
{
    std::string second_host; ///< the host that may close it, empty: none
    std::uint64_t second_boot = 0;
    bool closed = false;
    bool ended = false; ///< the process no longer acts for this ledger
};

/// @brief The ledgers of a zone; the object whose conditional update decides
///        whether a ledger is closed or goes on under another second host.
struct ledger_table
{
    std::map<ledger_id, ledger_row> rows;
};

/// @brief Name of the platform object that holds a zone's table.
std::string ledger_table_name(std::string_view zone);

/// @brief Reads a table from its JSON text; an empty text is an empty table.
result<ledger_table> parse_ledger_table(std::string_view text);

/// @brief Writes a table as JSON text.
std::string to_text(const ledger_table& table);

} // namespace rhubarbgrade
