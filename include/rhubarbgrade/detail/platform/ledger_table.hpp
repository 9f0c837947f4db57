#pragma once

#include <cstdint>     // uint64_t
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/error.hpp> // result
#include <rhubarbgrade/detail/base/types.hpp> // ledger_id

namespace rhubarbgrade
{

/// @brief The state of one ledger as recorded on the platform.
struct ledger_row
{
    std::string second_host; ///< host that may close the ledger, empty: none
    std::uint64_t second_boot = 0; ///< start of that host's process
    bool closed = false;           ///< closed by the second host
    /// No process works on requests of this ledger any more.
    bool ended = false;
};

/// @brief The ledgers of a zone.
///
/// Its conditional update on the platform decides between the second host,
/// which closes a ledger, and the owner, which assigns another second host.
struct ledger_table
{
    std::map<ledger_id, ledger_row> rows;
};

/// @brief Name of the platform object that stores the table of a zone.
std::string ledger_table_name(std::string_view zone);

/// @brief Parses a table from its JSON text; an empty text is an empty table.
/// @return the table, or @ref errc::malformed
result<ledger_table> parse_ledger_table(std::string_view text);

/// @brief Serializes a table as JSON text.
std::string to_text(const ledger_table& table);

} // namespace rhubarbgrade
