#include <rhubarbgrade/detail/base/types.hpp>

#include <charconv>    // from_chars
#include <string>      // string, to_string
#include <string_view> // string_view

namespace rhubarbgrade
{

std::string to_string(const ledger_id& id)
{
    return id.host + "." + std::to_string(id.incarnation);
}

ledger_id parse_ledger_id(std::string_view text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return {};
    ledger_id id{std::string(text.substr(0, dot)), 0};
    const auto digits = text.substr(dot + 1);
    const auto* const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, id.incarnation);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return {};
    return id;
}

} // namespace rhubarbgrade
