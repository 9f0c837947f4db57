#include <rhubarbgrade/detail/routing/request_limit.hpp>

#include <algorithm> // clamp, count_if, max, min
#include <chrono>    // duration
#include <cmath>     // ceil, floor

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{
namespace
{

/// Part of a limit that is used; the rest covers the moments in which hosts
/// disagree on who is alive.
constexpr double used_part = 0.9;

/// Requests a second sent to an endpoint in spite of a lower limit: only an
/// answer can tell that the limit has ended.
constexpr double min_per_s = 0.1;

/// Seconds for which a share is saved up, if that is over one request.
constexpr double burst_s = 0.5;

} // namespace

void record_named(request_limit& limit, double per_s, time_point_t sent_at,
                  time_point_t answered_at)
{
    if (!in_force(limit) || per_s < limit.per_s || sent_at > limit.named_at)
        limit.per_s = per_s;
    limit.named_at = std::max(limit.named_at, answered_at);
}

void record_unnamed(request_limit& limit, time_point_t sent_at)
{
    limit.unnamed_at = std::max(limit.unnamed_at, sent_at);
}

void merge(request_limit& limit, const request_limit& other)
{
    if (other.named_at > limit.named_at)
    {
        limit.per_s = other.per_s;
        limit.named_at = other.named_at;
    }
    limit.unnamed_at = std::max(limit.unnamed_at, other.unnamed_at);
    limit.rejected_at = std::max(limit.rejected_at, other.rejected_at);
}

bool in_force(const request_limit& limit)
{
    return limit.named_at != time_point_t{} &&
           limit.unnamed_at <= limit.named_at;
}

request_share share_of_limit(double per_s, std::uint64_t process,
                             const std::string& self,
                             std::span<const std::string> live_hosts,
                             std::size_t all_hosts)
{
    const auto live = static_cast<double>(live_hosts.size());
    const auto reachable = std::min(
        1.0, live / static_cast<double>(std::max<std::size_t>(1, all_hosts)));
    const auto holders = std::clamp(std::floor(per_s * reachable), 1.0, live);
    const auto own = hash64(self, process);
    const auto before = std::count_if(live_hosts.begin(), live_hosts.end(),
                                      [&](const auto& each)
                                      {
                                          return hash64(each, process) > own;
                                      });
    if (static_cast<double>(before) >= holders)
        return {};
    return {std::max(min_per_s, used_part * per_s * reachable) / holders,
            std::max(1.0, burst_s * per_s * reachable / holders)};
}

void refill(request_bucket& bucket, const request_share& share,
            time_point_t now)
{
    if (bucket.filled_at != time_point_t{})
    {
        const std::chrono::duration<double> passed = now - bucket.filled_at;
        bucket.tokens =
            std::min(share.burst, bucket.tokens + passed.count() * share.per_s);
    }
    bucket.filled_at = now;
}

bool has_token(const request_bucket& bucket)
{
    return bucket.tokens >= 1;
}

std::optional<milliseconds> time_to_token(const request_bucket& bucket,
                                          const request_share& share)
{
    if (share.per_s <= 0)
        return std::nullopt;
    constexpr double ms_per_s = 1000;
    return milliseconds(static_cast<milliseconds::rep>(
        std::ceil(std::max(0.0, 1 - bucket.tokens) / share.per_s * ms_per_s)));
}

} // namespace rhubarbgrade
