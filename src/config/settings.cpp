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
constexpr std::int64_t horizon_most_s = 604800;
constexpr std::int64_t mebibyte = 1 << 20;

milliseconds duration(toml_reader& reader, std::string_view key,
                      milliseconds fallback)
{
    return milliseconds(reader.number(key, fallback.count(), 1, hour_ms));
}

std::size_t size(toml_reader& reader, std::string_view key,
                 std::size_t fallback, std::int64_t least, std::int64_t most)
{
    return static_cast<std::size_t>(
        reader.number(key, static_cast<std::int64_t>(fallback), least, most));
}

void load_limits(toml_reader& reader, settings& read)
{
    read.max_connections =
        size(reader, "max_connections", read.max_connections, 8, 16384);
    read.max_body =
        size(reader, "max_body_bytes", read.max_body, 1024, 64 * mebibyte);
    read.stream_buffer = size(reader, "stream_buffer_bytes", read.stream_buffer,
                              4096, 4 * mebibyte);
    read.queue_size = size(reader, "queue_size", read.queue_size, 0, 100000);
    read.reader_timeout =
        duration(reader, "reader_timeout_ms", read.reader_timeout);
    read.progress_timeout =
        duration(reader, "progress_timeout_ms", read.progress_timeout);
    read.queue_limit = duration(reader, "queue_limit_ms", read.queue_limit);
}

void load_times(toml_reader& reader, settings& read)
{
    read.heartbeat = duration(reader, "heartbeat_ms", read.heartbeat);
    read.suspect_after =
        duration(reader, "suspect_after_ms", read.suspect_after);
    read.close_after = duration(reader, "close_after_ms", read.close_after);
    read.replicate_timeout =
        duration(reader, "replicate_timeout_ms", read.replicate_timeout);
    read.flush = duration(reader, "flush_ms", read.flush);
    read.host_poll = duration(reader, "host_poll_ms", read.host_poll);
}

void load_draw(toml_reader& reader, draw_policy& draw)
{
    draw.horizon = std::chrono::seconds(reader.number(
        "draw_horizon_s", draw.horizon.count(), 1, horizon_most_s));
    draw.smallest = size(reader, "draw_smallest_tokens", draw.smallest, 1,
                         std::int64_t{1} << 40U);
    draw.solo_share = reader.real("solo_share", draw.solo_share, 0, 1);
}

void check_times(toml_reader& reader, const settings& read)
{
    if (read.suspect_after <= 2 * read.heartbeat)
        reader.fault(errc::clash, "suspect_after_ms",
                     "\"suspect_after_ms\" must be above two heartbeats");
    if (read.close_after <= read.suspect_after)
        reader.fault(errc::clash, "close_after_ms",
                     "\"close_after_ms\" must be above \"suspect_after_ms\"");
}

} // namespace

settings load_settings(const std::string& file, std::string_view text,
                       problems_t& faults)
{
    settings read;
    const auto table = parse_toml(file, text, faults);
    if (!table)
        return read;
    toml_reader reader(*table, file, faults);
    read.host = reader.text("host");
    if (read.host.find_first_of("./ ") != std::string::npos)
        reader.fault(errc::out_of_range, "host",
                     "\"host\" must have no dot, slash or space");
    read.zone = reader.text("zone");
    read.listen = reader.address("listen");
    read.rpc_listen = reader.address("rpc_listen");
    read.admin_listen = reader.address("admin_listen");
    read.platform = reader.address("platform");
    read.log_level = reader.text("log_level", read.log_level);
    const std::string levels = " trace debug info warn error off ";
    if (levels.find(" " + read.log_level + " ") == std::string::npos)
        reader.fault(errc::out_of_range, "log_level",
                     "\"log_level\" must be one of" + levels);
    for (auto& [name, address] : reader.text_table("peer_addresses"))
        read.peer_addresses[name] = address;
    load_limits(reader, read);
    load_times(reader, read);
    load_draw(reader, read.draw);
    check_times(reader, read);
    reader.finish();
    return read;
}

} // namespace rhubarbgrade
