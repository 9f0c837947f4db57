#pragma once

#include <cstdint>     // uint32_t
#include <functional>  // less
#include <map>         // map
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <rhubarbgrade/detail/base/types.hpp> // token_count_t, wall_time_t

namespace rhubarbgrade
{

/// @brief Position of an object in its TOML file, for messages.
struct source_location
{
    std::string file;
    std::uint32_t line = 0;
};

/// @brief A customer, who prepays tokens and sends requests.
struct customer
{
    std::string name;
    std::vector<std::string> key_sha256; ///< hashes of the API keys
    token_count_t prepaid_tokens = 0;    ///< total of all purchases; only grows
    int priority = 5;                    ///< 0 is the lowest, 9 the highest
    source_location where;
};

/// @brief The kinds of back end.
enum class service_kind
{
    model, ///< an OpenAI-style model engine
    plain  ///< any other HTTP service
};

/// @brief A service that callers use, selected by model name or path.
struct service
{
    std::string name;
    service_kind kind = service_kind::model;
    std::string model;      ///< value of "model" in a request (model services)
    std::string path;       ///< prefix of the request paths (plain services)
    std::string version;    ///< version that serves while no move runs
    bool idempotent = true; ///< requests may run more than once
    token_count_t default_max_tokens = 256; ///< if a request sets no max_tokens
    token_count_t most_max_tokens = 4096;   ///< a higher max_tokens is refused
    token_count_t tokens_per_call = 0; ///< price of a request (plain services)
    milliseconds timeout{60000};       ///< for a complete answer
    source_location where;
};

/// @brief One build of a service.
struct version
{
    std::string name;
    std::string service;
    source_location where;
};

/// @brief One process that runs a version.
struct endpoint
{
    std::string name;
    std::string version;
    std::string zone;
    std::string address; ///< "ip:port"
    std::string host;    ///< name in the platform's host list; or empty
    std::uint32_t max_in_flight = 8; ///< requests it can run without overload
    bool leaving = false;            ///< draining; gets no new requests
    source_location where;
};

/// @brief A planned, gradual shift of a service's traffic to another version.
struct move
{
    std::string name;
    std::string service;
    std::string from; ///< old version
    std::string to;   ///< new version
    wall_time_t start{};
    wall_time_t deadline{};        ///< all traffic should have moved by then
    double unproved_share = 0.05;  ///< cap of the share until there is evidence
    double error_tolerance = 0.02; ///< accepted absolute rise of the error rate
    double slow_tolerance = 0.5; ///< accepted relative rise of the mean latency
    source_location where;
};

/// @brief A service-level objective for a service, of one or all customers.
struct objective
{
    std::string name;
    std::string customer; ///< empty for all customers
    std::string service;
    double availability = 0.999;   ///< share of requests answered without error
    milliseconds first_token{360}; ///< 95th percentile
    milliseconds between_tokens{54}; ///< 95th percentile
    source_location where;
};

/// @brief All configuration objects, published together as one generation.
struct object_set
{
    template <typename T>
    using by_name_t = std::map<std::string, T, std::less<>>;

    by_name_t<customer> customers;
    by_name_t<service> services;
    by_name_t<version> versions;
    by_name_t<endpoint> endpoints;
    by_name_t<move> moves;
    by_name_t<objective> objectives;
};

/// @brief Finds an object by its name.
/// @return the object, or null; valid as long as @a objects
template <typename T>
const T* find(const object_set::by_name_t<T>& objects, std::string_view name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

} // namespace rhubarbgrade
