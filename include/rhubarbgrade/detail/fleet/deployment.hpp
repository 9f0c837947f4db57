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

/// @brief Whether the requests of a route may run more than once.
enum class call_kind
{
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once
    stream,         ///< server-sent events; resumed only where allowed
};

/// @brief A service that a route's requests go to, with its weight.
struct weighted_service
{
    std::string service;
    double weight = 1; ///< relative to the other services of the route
};

/// @brief A routing rule: requests for a host name and path prefix go to one of
///        the listed services.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with "/"
    call_kind kind = call_kind::non_idempotent;
    milliseconds timeout{3000};  ///< longest wait of a caller
    milliseconds objective{300}; ///< target time to the first byte
    int priority = 0;            ///< 0 is the highest
    int max_attempts = 1;        ///< attempts that may run, per request
    bool open = false;           ///< no API key needed
    bool resumable = false;      ///< streams can resume on another endpoint
    bool engine_calls = false;   ///< headers give model, prompt parts, tokens
    std::vector<weighted_service> services;
};

/// @brief Configuration of the model engines of a service.
struct engine_profile
{
    std::uint32_t slots = 0;            ///< requests that run at once
    token_count_t cache_tokens = 0;     ///< capacity of the prefix cache
    std::uint32_t tokens_per_event = 1; ///< generated tokens in a stream event
};

/// @brief A service: a pool of interchangeable endpoints.
struct pool_service
{
    std::string name;
    std::string health_path = "/healthz";
    std::uint32_t max_connections = 100; ///< to one endpoint, from all hosts
    milliseconds cold_time{0}; ///< for which an endpoint that starts is cold
    /// Requests a second that a cold endpoint takes from all hosts; 0: as many
    /// as a warm one.
    double cold_per_s = 0;
    std::optional<engine_profile> engine; ///< set for model services
};

/// @brief A customer: the owner of API keys, whose budget pays for requests.
struct payer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;          ///< replaces that of the route
    std::optional<token_count_t> prepaid; ///< prepaid budget, tokens
};

/// @brief Size and time limits for requests of callers.
struct caller_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 4194304;
    milliseconds header_time{3000};
    milliseconds idle_time{15000};
};

/// @brief One version of the configuration, with indexes for lookup.
struct deployment
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, pool_service, std::less<>> services;
    std::vector<payer> customers;
    bool keys_needed = false; ///< requests need an API key
    caller_limits limits;

    /// Index into @a routes by host name and path prefix.
    std::unordered_map<std::string,
                       std::unordered_map<std::string, std::size_t>>
        route_index;
    /// Index into @a customers by API key.
    std::unordered_map<std::string, std::size_t> key_index;
};

/// @brief Rebuilds the indexes from the routes and customers.
void build_indexes(deployment& configuration);

/// @brief Finds the route with the longest prefix of @a path.
/// @param[in] host  the request's host name in lower case, without a port
/// @param[in] path  the request's path without its query
/// @return the route, or null; valid as long as the configuration
/// @note Complexity: one lookup per slash in the path.
const route* find_route(const deployment& configuration, std::string_view host,
                        std::string_view path);

/// @brief Finds the customer that owns an API key, or null.
const payer* find_customer(const deployment& configuration,
                           std::string_view key);

} // namespace rhubarbgrade
