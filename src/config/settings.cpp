#include <rhubarbgrade/detail/config/settings.hpp>

#include <chrono>      // seconds
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/config/toml_reader.hpp> // toml_reader

namespace rhubarbgrade
{
namespace
{

constexpr std::int64_t hour_ms = 3600000;
constexpr std::int64_t max_horizon_s = 604800;
constexpr std::int64_t mebibyte = 1 << 20;

milliseconds duration(toml_reader& reader, std::string_view key,
                      milliseconds fallback)
{
    return milliseconds(reader.number(key, fallback.count(), 1, hour_ms));
}

std::size_t size(toml_reader& reader, std::string_view key,
                 std::size_t fallback, std::int64_t minimum,
                 std::int64_t maximum)
{
    return static_cast<std::size_t>(reader.number(
        key, static_cast<std::int64_t>(fallback), minimum, maximum));
}

void load_limits(toml_reader& reader, settings& loaded)
{
    loaded.max_connections =
        size(reader, "max_connections", loaded.max_connections, 8, 16384);
    loaded.max_body =
        size(reader, "max_body_bytes", loaded.max_body, 1024, 64 * mebibyte);
    loaded.stream_buffer = size(reader, "stream_buffer_bytes",
                                loaded.stream_buffer, 4096, 4 * mebibyte);
    loaded.queue_size =
        size(reader, "queue_size", loaded.queue_size, 0, 100000);
    loaded.reader_timeout =
        duration(reader, "reader_timeout_ms", loaded.reader_timeout);
    loaded.progress_timeout =
        duration(reader, "progress_timeout_ms", loaded.progress_timeout);
    loaded.queue_limit = duration(reader, "queue_limit_ms", loaded.queue_limit);
}

void load_times(toml_reader& reader, settings& loaded)
{
    loaded.heartbeat = duration(reader, "heartbeat_ms", loaded.heartbeat);
    loaded.suspect_after =
        duration(reader, "suspect_after_ms", loaded.suspect_after);
    loaded.close_after = duration(reader, "close_after_ms", loaded.close_after);
    loaded.replicate_timeout =
        duration(reader, "replicate_timeout_ms", loaded.replicate_timeout);
    loaded.flush = duration(reader, "flush_ms", loaded.flush);
    loaded.host_poll = duration(reader, "host_poll_ms", loaded.host_poll);
}

void load_draw(toml_reader& reader, draw_policy& draw)
{
    draw.horizon = std::chrono::seconds(reader.number(
        "draw_horizon_s", draw.horizon.count(), 1, max_horizon_s));
    draw.smallest_draw = size(reader, "draw_smallest_tokens",
                              draw.smallest_draw, 1, std::int64_t{1} << 40U);
    draw.solo_share = reader.real("solo_share", draw.solo_share, 0, 1);
}

void check_times(toml_reader& reader, const settings& loaded)
{
    if (loaded.suspect_after <= 2 * loaded.heartbeat)
        reader.report(
            errc::clash, "suspect_after_ms",
            "\"suspect_after_ms\" must be above twice \"heartbeat_ms\"");
    if (loaded.close_after <= loaded.suspect_after)
        reader.report(errc::clash, "close_after_ms",
                      "\"close_after_ms\" must be above \"suspect_after_ms\"");
}

} // namespace

settings load_settings(const std::string& file, std::string_view text,
                       problems_t& problems)
{
    settings loaded;
    const auto table = parse_toml(file, text, problems);
    if (!table)
        return loaded;
    toml_reader reader(*table, file, problems);
    loaded.host = reader.text("host");
    if (loaded.host.find_first_of("./ ") != std::string::npos)
        reader.report(errc::out_of_range, "host",
                      "\"host\" must have no dot, slash or space");
    loaded.zone = reader.text("zone");
    loaded.listen = reader.address("listen");
    loaded.rpc_listen = reader.address("rpc_listen");
    loaded.admin_listen = reader.address("admin_listen");
    loaded.platform = reader.address("platform");
    loaded.log_level = reader.text("log_level", loaded.log_level);
    const std::string levels = " trace debug info warn error off ";
    if (levels.find(" " + loaded.log_level + " ") == std::string::npos)
        reader.report(errc::out_of_range, "log_level",
                      "\"log_level\" must be one of" + levels);
    for (auto& [name, address] : reader.text_table("peer_addresses"))
        loaded.peer_addresses[name] = address;
    load_limits(reader, loaded);
    load_times(reader, loaded);
    load_draw(reader, loaded.draw);
    check_times(reader, loaded);
    reader.finish();
    return loaded;
}

} // namespace rhubarbgrade
