#pragma once

#include <cstdint>     // int64_t
#include <optional>    // optional
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <toml++/toml.h> // table, node

#include <rhubarbgrade/detail/base/types.hpp>     // wall_time_t
#include <rhubarbgrade/detail/config/problem.hpp> // problems_t

namespace rhubarbgrade
{

/// @brief Reads the keys of one TOML table and collects every fault.
///
/// A key that was not asked for by the time of @ref finish is a fault.
class toml_reader
{
public:
    /// @param[in] table   the table
    /// @param[in] file    name of its file, for messages
    /// @param[in] faults  receives the faults; must outlive the reader
    toml_reader(const toml::table& table, std::string file, problems_t& faults);

    /// @brief A required string that is not empty.
    std::string text(std::string_view key);

    /// @brief An optional string.
    std::string text(std::string_view key, std::string_view fallback);

    /// @brief An optional list of strings.
    std::vector<std::string> texts(std::string_view key);

    /// @brief An optional table of strings.
    std::vector<std::pair<std::string, std::string>>
    text_table(std::string_view key);

    /// @brief An optional whole number in a range.
    std::int64_t number(std::string_view key, std::int64_t fallback,
                        std::int64_t least, std::int64_t most);

    /// @brief An optional number in a range.
    double real(std::string_view key, double fallback, double least,
                double most);

    /// @brief An optional truth value.
    bool flag(std::string_view key, bool fallback);

    /// @brief A required date and time with an offset.
    wall_time_t time(std::string_view key);

    /// @brief A required "ip:port", or an optional one with a fallback.
    std::string address(std::string_view key);

    /// @brief Reports each key that was not asked for.
    /// @return whether the table had no fault
    bool finish();

    /// @brief Reports a fault at a key, or at the table if it has none.
    void fault(errc code, std::string_view key, std::string text);

    /// @brief Where the table begins.
    source_location where() const;

private:
    const toml::node* find(std::string_view key);

    const toml::table& m_table;
    std::string m_file;
    problems_t& m_faults;
    std::set<std::string, std::less<>> m_known;
    bool m_clean = true;
};

/// @brief Parses TOML text.
/// @return the table, or nothing after a fault was added
std::optional<toml::table>
parse_toml(const std::string& file, std::string_view text, problems_t& faults);

} // namespace rhubarbgrade
