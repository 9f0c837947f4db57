#include <rhubarbgrade/detail/config/toml_reader.hpp>

#include <arpa/inet.h> // inet_pton

#include <charconv>    // from_chars
#include <chrono>      // sys_days, minutes
#include <optional>    // optional
#include <string>      // string, to_string
#include <string_view> // string_view
#include <utility>     // move, pair
#include <vector>      // vector

namespace rhubarbgrade
{
namespace
{

constexpr int max_port = 65535;

bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in6_addr parsed_address{};
    const auto ip = text.substr(0, colon);
    const bool ip_valid =
        ::inet_pton(AF_INET, ip.c_str(), &parsed_address) == 1;
    int port = -1;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return ip_valid && parsed.ec == std::errc() && parsed.ptr == end &&
           port >= 0 && port <= max_port;
}

wall_time_t to_wall_time(const toml::date_time& value)
{
    using namespace std::chrono;
    const auto day =
        sys_days(year(value.date.year) / value.date.month / value.date.day);
    const auto offset = value.offset ? value.offset->minutes : 0;
    return day + hours(value.time.hour) + minutes(value.time.minute - offset) +
           seconds(value.time.second);
}

} // namespace

std::string problem::message() const
{
    return where.file + ":" + std::to_string(where.line) + ": [" +
           code.category().name() + "." + std::to_string(code.value()) + "] " +
           text;
}

toml_reader::toml_reader(const toml::table& table, std::string file,
                         problems_t& problems)
    : m_table(table), m_file(std::move(file)), m_problems(problems)
{
}

const toml::node* toml_reader::find(std::string_view key)
{
    m_read_keys.emplace(key);
    return m_table.get(key);
}

void toml_reader::report(errc code, std::string_view key, std::string text)
{
    m_valid = false;
    source_location place = where();
    const auto* const node = m_table.get(key);
    if (node != nullptr)
        place.line = node->source().begin.line;
    m_problems.push_back({code, place, std::move(text)});
}

source_location toml_reader::where() const
{
    return {m_file, m_table.source().begin.line};
}

std::string toml_reader::text(std::string_view key)
{
    if (find(key) == nullptr)
    {
        report(errc::missing_key, key,
               "\"" + std::string(key) + "\" is required");
        return {};
    }
    auto value = text(key, {});
    if (value.empty() && m_table.get(key)->is_string())
        report(errc::out_of_range, key,
               "\"" + std::string(key) + "\" must not be empty");
    return value;
}

std::string toml_reader::text(std::string_view key, std::string_view fallback)
{
    const auto* const node = find(key);
    if (node == nullptr)
        return std::string(fallback);
    const auto value = node->value_exact<std::string>();
    if (!value)
        report(errc::wrong_type, key,
               "\"" + std::string(key) + "\" must be a string");
    return value.value_or(std::string(fallback));
}

std::vector<std::string> toml_reader::texts(std::string_view key)
{
    std::vector<std::string> values;
    const auto* const node = find(key);
    if (node == nullptr)
        return values;
    const auto* const list = node->as_array();
    if (list == nullptr ||
        !(list->empty() || list->is_homogeneous(toml::node_type::string)))
    {
        report(errc::wrong_type, key,
               "\"" + std::string(key) + "\" must be a list of strings");
        return values;
    }
    for (const auto& item : *list)
        values.push_back(*item.value_exact<std::string>());
    return values;
}

std::vector<std::pair<std::string, std::string>>
toml_reader::text_table(std::string_view key)
{
    std::vector<std::pair<std::string, std::string>> values;
    const auto* const node = find(key);
    if (node == nullptr)
        return values;
    const auto* const table = node->as_table();
    if (table == nullptr)
    {
        report(errc::wrong_type, key,
               "\"" + std::string(key) + "\" must be a table");
        return values;
    }
    for (const auto& [name, item] : *table)
    {
        const auto value = item.value_exact<std::string>();
        if (value)
            values.emplace_back(name.str(), *value);
        else
            report(errc::wrong_type, key,
                   "\"" + std::string(key) + "\" must contain only strings");
    }
    return values;
}

std::int64_t toml_reader::number(std::string_view key, std::int64_t fallback,
                                 std::int64_t minimum, std::int64_t maximum)
{
    const auto* const node = find(key);
    if (node == nullptr)
        return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (!value)
    {
        report(errc::wrong_type, key,
               "\"" + std::string(key) + "\" must be a whole number");
        return fallback;
    }
    if (*value < minimum || *value > maximum)
        report(errc::out_of_range, key,
               "\"" + std::string(key) + "\" must be from " +
                   std::to_string(minimum) + " to " + std::to_string(maximum));
    return *value;
}

double toml_reader::real(std::string_view key, double fallback, double minimum,
                         double maximum)
{
    const auto* const node = find(key);
    if (node == nullptr)
        return fallback;
    const auto value = node->value<double>();
    if (!node->is_number() || !value)
    {
        report(errc::wrong_type, key,
               "\"" + std::string(key) + "\" must be a number");
        return fallback;
    }
    if (!(*value >= minimum && *value <= maximum))
        report(errc::out_of_range, key,
               "\"" + std::string(key) + "\" must be from " +
                   std::to_string(minimum) + " to " + std::to_string(maximum));
    return *value;
}

bool toml_reader::flag(std::string_view key, bool fallback)
{
    const auto* const node = find(key);
    if (node == nullptr)
        return fallback;
    const auto value = node->value_exact<bool>();
    if (!value)
        report(errc::wrong_type, key,
               "\"" + std::string(key) + "\" must be true or false");
    return value.value_or(fallback);
}

wall_time_t toml_reader::time(std::string_view key)
{
    const auto* const node = find(key);
    if (node == nullptr)
    {
        report(errc::missing_key, key,
               "\"" + std::string(key) + "\" is required");
        return {};
    }
    const auto value = node->value_exact<toml::date_time>();
    if (!value || !value->offset)
    {
        report(errc::wrong_type, key,
               "\"" + std::string(key) +
                   "\" must be a date and time with a time zone offset");
        return {};
    }
    return to_wall_time(*value);
}

std::string toml_reader::address(std::string_view key)
{
    auto value = text(key);
    if (!value.empty() && !is_address(value))
        report(errc::out_of_range, key,
               "\"" + std::string(key) + "\" must be an IPv4 \"ip:port\"");
    return value;
}

bool toml_reader::finish()
{
    for (const auto& [name, node] : m_table)
        if (!m_read_keys.contains(name.str()))
            report(errc::unknown_key, name.str(),
                   "unknown key \"" + std::string(name.str()) + "\"");
    return m_valid;
}

std::optional<toml::table>
parse_toml(const std::string& file, std::string_view text, problems_t& problems)
{
    try
    {
        return toml::parse(text, file);
    }
    catch (const toml::parse_error& syntax_error)
    {
        const source_location place{file, syntax_error.source().begin.line};
        problems.push_back(
            {errc::syntax, place, std::string(syntax_error.description())});
        return std::nullopt;
    }
}

} // namespace rhubarbgrade
