// Lines of the host daemon's log.

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/details/log_msg.h>

#include "../../src/node/json_log.hpp" // make_json_formatter

using namespace rhubarbgrade;

// Guards against messages that end a line's JSON string: quotes, backslashes
// and control characters.
TEST_CASE("each line of the log is JSON whatever its message holds", "[log]")
{
    const std::string text = GENERATE("plain", "task \"tick\"", "a\\b\\", "%v",
                                      "two\nlines\ttab", "\x01\x1f");
    const std::string host = "h\"1%v";
    const auto formatter = make_json_formatter(host);
    spdlog::memory_buf_t line;
    formatter->format(
        spdlog::details::log_msg("node", spdlog::level::critical, text), line);
    const std::string written(line.data(), line.size());
    CHECK(written.find('\n') == written.size() - 1);
    const auto parsed = nlohmann::json::parse(written);
    CHECK(parsed.at("message") == text);
    CHECK(parsed.at("host") == host);
    CHECK(parsed.at("level") == "critical");
}
