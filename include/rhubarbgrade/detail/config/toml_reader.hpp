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

/// @brief Reads typed values from one TOML table and collects the problems.
///
/// Reading continues after a problem, so that one pass finds all of them. Keys
/// that have not been read when @ref finish is called are reported as unknown.
class toml_reader
{
public:
    /// @param[in] table         the table; must outlive the reader
    /// @param[in] file          name of its file, for messages
    /// @param[in,out] problems  receives the problems; must outlive the reader
    toml_reader(const toml::table& table, std::string file,
                problems_t& problems);

    /// @brief Reads a required, non-empty string.
    std::string text(std::string_view key);

    /// @brief Reads an optional string.
    std::string text(std::string_view key, std::string_view fallback);

    /// @brief Reads an optional array of strings.
    std::vector<std::string> texts(std::string_view key);

    /// @brief Reads an optional table of strings.
    std::vector<std::pair<std::string, std::string>>
    text_table(std::string_view key);

    /// @brief Reads an optional integer within a range.
    std::int64_t number(std::string_view key, std::int64_t fallback,
                        std::int64_t minimum, std::int64_t maximum);

    /// @brief Reads an optional number within a range.
    double real(std::string_view key, double fallback, double minimum,
                double maximum);

    /// @brief Reads an optional boolean.
    bool flag(std::string_view key, bool fallback);

    /// @brief Reads a required date and time with a time zone offset.
    wall_time_t time(std::string_view key);

    /// @brief Reads a required "ip:port" with an IPv4 address.
    std::string address(std::string_view key);

    /// @brief Reports each key that has not been read as unknown.
    /// @return whether the table had no problems
    bool finish();

    /// @brief Reports a problem at the position of a key, or at that of the
    ///        table if the key is missing.
    void report(errc code, std::string_view key, std::string text);

    /// @brief Position of the table in its file.
    source_location where() const;

private:
    const toml::node* find(std::string_view key);

    const toml::table& m_table;
    std::string m_file;
    problems_t& m_problems;
    std::set<std::string, std::less<>> m_read_keys;
    bool m_valid = true;
};

/// @brief Parses TOML text.
/// @return the table, or nothing after a syntax error was reported
std::optional<toml::table> parse_toml(const std::string& file,
                                      std::string_view text,
                                      problems_t& problems);

} // namespace rhubarbgrade
