#pragma once

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, token_count_t

namespace rhubarbgrade
{

/// @brief What may be repeated of a route's requests.
enum class call_kind
{
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs once at most
    stream,         ///< a series of events; resumed only where allowed
};

/// @brief A service and its share of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// @brief Where requests of one host name and path prefix go.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    call_kind kind = call_kind::non_idempotent;
    milliseconds timeout{3000};  ///< longest time a caller is kept waiting
    milliseconds objective{300}; ///< first byte within it counts in full
    int priority = 0;            ///< 0 is the most urgent
    int max_attempts = 1;        ///< endpoints for one request
    bool open = false;           ///< needs no key
    bool resumable = false;      ///< a stream that another endpoint may go on
    bool engine_calls = false;   ///< requests name a model and their tokens
    std::vector<weighted_service> services;
};

/// @brief What is configured of the engines of a service.
struct engine_profile
{
    std::uint32_t slots = 0;
    token_count_t cache_tokens = 0;
    std::uint32_t tokens_per_event = 1;
};

/// @brief A pool of endpoints that answer alike.
struct pool_service
{
    std::string name;
    std::string health_path = "/healthz";
    std::uint32_t max_connections = 100; ///< of all hosts to one endpoint
    std::optional<engine_profile> engine;
};

/// @brief Who pays for requests.
struct payer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;
    std::optional<token_count_t> prepaid;
};

/// @brief What a caller may send, and how long it may take.
struct caller_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 4194304;
    milliseconds header_time{3000};
    milliseconds idle_time{15000};
};

/// @brief One version of the configuration, indexed for look-up.
struct deployment
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, pool_service, std::less<>> services;
    std::vector<payer> customers;
    bool keys_needed = false;
    caller_limits limits;

    /// host name -> prefix -> index of the route
    std::unordered_map<std::string,
                       std::unordered_map<std::string, std::size_t>>
        route_index;
    std::unordered_map<std::string, std::size_t> key_index;
};

/// @brief Fills the indexes.
void build_indexes(deployment& configuration);

/// @brief The route with the longest prefix of @a path, or null.
/// @param[in] host  the request's host name in lower case, without a port
/// @param[in] path  the request's path without its query
/// @note Complexity: one look-up for each slash of the path.
const route* find_route(const deployment& configuration, std::string_view host,
                        std::string_view path);

/// @brief The customer that holds @a key, or null.
const payer* find_customer(const deployment& configuration,
                           std::string_view key);

} // namespace rhubarbgrade
