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

/// @brief Where an object was written, for messages.
struct source_location
{
    std::string file;
    std::uint32_t line = 0;
};

/// @brief Somebody who prepays tokens and sends requests.
struct customer
{
    std::string name;
    std::vector<std::string> key_sha256; ///< hashes of the bearer keys
    token_count_t prepaid_tokens = 0;    ///< all purchases so far; only grows
    int priority = 5;                    ///< 0 waits longest, 9 goes first
    source_location where;
};

/// @brief The two kinds of back end.
enum class service_kind
{
    model, ///< an OpenAI-style model engine
    plain  ///< any other HTTP service
};

/// @brief What callers ask for: a model by name or a path of a plain service.
struct service
{
    std::string name;
    service_kind kind = service_kind::model;
    std::string model;      ///< name in "model" of a request (model services)
    std::string path;       ///< prefix of the paths it answers (plain services)
    std::string version;    ///< the version that serves while no move runs
    bool idempotent = true; ///< its calls may be repeated
    token_count_t default_max_tokens = 256; ///< when a request names none
    token_count_t most_max_tokens = 4096;   ///< more is a bad request
    token_count_t tokens_per_call = 0;      ///< price of a plain call
    milliseconds timeout{60000};            ///< for one answer as a whole
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
    std::string host;    ///< name in the platform's host list, may be empty
    std::uint32_t max_in_flight = 8; ///< requests it carries without collapse
    bool leaving = false;            ///< takes no new work
    source_location where;
};

/// @brief A planned move of a service's traffic to another version.
struct move
{
    std::string name;
    std::string service;
    std::string from;
    std::string to;
    wall_time_t start{};
    wall_time_t deadline{};
    double unproved_share = 0.05;  ///< cap until there is evidence
    double error_tolerance = 0.02; ///< accepted rise of the error rate
    double slow_tolerance = 0.5;   ///< accepted rise of the mean latency
    source_location where;
};

/// @brief A service-level objective of a customer on a service.
struct objective
{
    std::string name;
    std::string customer; ///< empty for all
    std::string service;
    double availability = 0.999;     ///< share of requests answered well
    milliseconds first_token{360};   ///< for 95 in 100
    milliseconds between_tokens{54}; ///< for 95 in 100
    source_location where;
};

/// @brief The whole set that is published as one generation.
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
/// @return the object, or null
template <typename T>
const T* find(const object_set::by_name_t<T>& objects, std::string_view name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

} // namespace rhubarbgrade
