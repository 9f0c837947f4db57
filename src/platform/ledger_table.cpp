#include <rhubarbgrade/detail/platform/ledger_table.hpp>

#include <string>      // string
#include <string_view> // string_view

#include <nlohmann/json.hpp> // json

namespace rhubarbgrade
{

using nlohmann::json;

std::string ledger_table_name(std::string_view zone)
{
    return "ledgers/" + std::string(zone);
}

result<ledger_table> parse_ledger_table(std::string_view text)
{
    ledger_table table;
    if (text.empty())
        return table;
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return failure(errc::malformed, "parse_ledger_table");
    try
    {
        for (const auto& [name, row] : document.items())
            table.rows[parse_ledger_id(name)] = {
                row.at("second_host"), row.at("second_boot"), row.at("closed"),
                row.at("ended")};
    }
    catch (const json::exception& parse_error)
    {
        return failure(errc::malformed, "parse_ledger_table", {},
                       parse_error.what());
    }
    return table;
}

std::string to_text(const ledger_table& table)
{
    json document = json::object();
    for (const auto& [id, row] : table.rows)
        document[to_string(id)] = {{"second_host", row.second_host},
                                   {"second_boot", row.second_boot},
                                   {"closed", row.closed},
                                   {"ended", row.ended}};
    return document.dump();
}

} // namespace rhubarbgrade
