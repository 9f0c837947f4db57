#include <rhubarbgrade/detail/base/address.hpp>

#include <charconv>     // from_chars
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // errc
#include <utility>      // pair

namespace rhubarbgrade
{

std::pair<std::string, int> split_address(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return {std::string(address), -1};
    int port = -1;
    const auto* const end = address.data() + address.size();
    const auto [parsed, fault] =
        std::from_chars(address.data() + colon + 1, end, port);
    if (fault != std::errc() || parsed != end)
        port = -1;
    return {std::string(address.substr(0, colon)), port};
}

} // namespace rhubarbgrade
