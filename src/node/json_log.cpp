#include "json_log.hpp"

#include <spdlog/fmt/fmt.h>           // format
#include <spdlog/pattern_formatter.h> // custom_flag_formatter

namespace rhubarbgrade
{

namespace
{

/// Writes the text of a message as the inside of a JSON string.
class escaped_message : public spdlog::custom_flag_formatter
{
public:
    void format(const spdlog::details::log_msg& message, const std::tm&,
                spdlog::memory_buf_t& out) override
    {
        const auto text = json_escaped(
            std::string_view(message.payload.data(), message.payload.size()));
        out.append(text.data(), text.data() + text.size());
    }

    std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<escaped_message>();
    }
};

/// Text that a pattern writes as it is.
std::string pattern_escaped(std::string_view text)
{
    std::string escaped;
    for (const char each : text)
        escaped.append(each == '%' ? 2 : 1, each);
    return escaped;
}

} // namespace

std::string json_escaped(std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    std::string escaped;
    for (const char each : text)
        if (each == '"' || each == '\\')
            escaped.append(1, '\\').append(1, each);
        else if (static_cast<unsigned char>(each) < first_printable)
            escaped.append(fmt::format("\\u{:04x}", each));
        else
            escaped.append(1, each);
    return escaped;
}

std::unique_ptr<spdlog::formatter> make_json_formatter(std::string_view host)
{
    auto formatter = std::make_unique<spdlog::pattern_formatter>(
        spdlog::pattern_time_type::utc);
    formatter->add_flag<escaped_message>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","host":")" +
        pattern_escaped(json_escaped(host)) + R"(","message":"%*"})");
    return formatter;
}

} // namespace rhubarbgrade
