#pragma once

#include <cstddef>     // size_t
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/types.hpp>     // milliseconds
#include <rhubarbgrade/detail/budget/draw.hpp>    // draw_policy
#include <rhubarbgrade/detail/config/problem.hpp> // problems_t

namespace rhubarbgrade
{

/// @brief The settings of one router process, read from its TOML file.
struct settings
{
    std::string host;   ///< name in the platform's host list
    std::string zone;   ///< availability zone
    std::string listen; ///< "ip:port" for callers, port 0: chosen by the kernel
    std::string rpc_listen;   ///< "ip:port" for other routers
    std::string admin_listen; ///< "ip:port" for metrics, health and status
    std::string platform;     ///< "ip:port" of the platform's object store
    std::string log_level = "info";

    /// Addresses of other routers, by host name; override those in the host
    /// list.
    std::map<std::string, std::string> peer_addresses;

    std::size_t max_connections = 1024;  ///< caller connections served at once
    std::size_t max_body = 1U << 20U;    ///< bytes of a request body
    std::size_t stream_buffer = 32768;   ///< bytes buffered for a slow caller
    milliseconds reader_timeout{10000};  ///< for a caller that reads nothing
    milliseconds progress_timeout{5000}; ///< for an engine that sends nothing
    milliseconds queue_limit{2000};      ///< longest wait for a slot
    std::size_t queue_size = 256;        ///< maximum number of requests waiting

    milliseconds heartbeat{500};      ///< between heartbeats to a peer
    milliseconds suspect_after{2000}; ///< silence after which a host is suspect
    milliseconds close_after{5000};   ///< silence that closes its ledger
    milliseconds replicate_timeout{400}; ///< for the second host's answer
    milliseconds flush{500};             ///< between writes to the platform
    milliseconds host_poll{1000};        ///< between reads of the host list

    draw_policy draw;
};

/// @brief Parses and checks settings.
/// @param[in] file          name of the file, for messages
/// @param[in] text          its TOML text
/// @param[in,out] problems  receives every problem found
settings load_settings(const std::string& file, std::string_view text,
                       problems_t& problems);

} // namespace rhubarbgrade
