#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <span>     // span
#include <string>   // string

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief A limit on the requests that an endpoint takes from all hosts, as it
///        names it in its answers.
struct request_limit
{
    double per_s = 0;        ///< requests a second, as last named
    time_point_t named_at{}; ///< last answer that named it
    /// When the last request was sent whose answer named no limit.
    time_point_t unnamed_at{};
    /// When it last turned a request away for want of room.
    time_point_t rejected_at{};
};

/// @brief What an endpoint's figure limits.
enum class limit_kind
{
    requests,  ///< those it takes
    rejections ///< those it can turn away without falling over
};

/// @brief An endpoint's answer, as far as request limits are concerned.
struct limit_observation
{
    std::uint64_t process = 0;   ///< hash of the endpoint's process
    std::optional<double> per_s; ///< empty if the answer named no limit
    time_point_t sent_at{};      ///< of the request
    time_point_t answered_at{};
    bool turned_away = false; ///< the request was
    limit_kind kind = limit_kind::requests;
};

/// @brief Records an answer that named a limit. Answers can overtake each
///        other: a higher limit counts only if the request was sent after the
///        last answer that named one.
void record_named(request_limit& limit, double per_s, time_point_t sent_at,
                  time_point_t answered_at);

/// @brief Records an answer that named no limit.
void record_unnamed(request_limit& limit, time_point_t sent_at);

/// @brief Adds what another host knows.
void merge(request_limit& limit, const request_limit& other);

/// @brief Whether the endpoint still has the limit. It ends with the answer to
///        a request that was sent after the last answer that named it.
bool in_force(const request_limit& limit);

/// @brief The part of a request limit that one host may use.
struct request_share
{
    double per_s = 0; ///< 0: none
    double burst = 0; ///< most requests at once

    bool operator==(const request_share&) const = default;
};

/// @brief Divides a request limit among hosts.
///
/// A few hosts, not more than the limit has requests a second, get equal
/// shares; otherwise what each could save up would exceed a low limit. All
/// hosts choose the same ones by rendezvous hashing.
/// @param[in] per_s       the endpoint's limit
/// @param[in] process     hash of the endpoint's process
/// @param[in] self        the host whose share is asked for
/// @param[in] live_hosts  hosts that @a self hears of, including itself
/// @param[in] all_hosts   number of hosts of the fleet; those that are cut off
///                        from @a self may use their part of the limit
request_share share_of_limit(double per_s, std::uint64_t process,
                             const std::string& self,
                             std::span<const std::string> live_hosts,
                             std::size_t all_hosts);

/// @brief A token bucket for the requests of one share.
struct request_bucket
{
    double tokens = 0;
    time_point_t filled_at{};
};

/// @brief Adds the tokens of the time that has passed. A new bucket is empty.
void refill(request_bucket& bucket, const request_share& share,
            time_point_t now);

/// @brief Whether a request may be sent.
bool has_token(const request_bucket& bucket);

/// @brief Time until a request may be sent; empty if the host has no share.
std::optional<milliseconds> time_to_token(const request_bucket& bucket,
                                          const request_share& share);

} // namespace rhubarbgrade
