#include <rhubarbgrade/detail/routing/shared_retry.hpp>

#include <algorithm> // max
#include <chrono>    // duration_cast
#include <cstdint>   // int64_t

namespace rhubarbgrade
{

namespace
{

/// Share of the limit that is used. The rest is a margin: the windows of two
/// hosts, or of an outside observer, differ by up to a slice, and requests may
/// be counted late.
constexpr double used_share = 0.7;

std::int64_t slice_number(const shared_retry_limit& limit, time_point_t now)
{
    const auto slice_length = std::max(
        milliseconds(1), limit.window / static_cast<int>(retry_counts::slices));
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) /
           slice_length;
}

/// Moves the window to slice @a number and clears the slices that leave it.
void advance(retry_counts& counts, std::int64_t number)
{
    const auto slice_count = static_cast<std::int64_t>(retry_counts::slices);
    const auto first = std::max(counts.newest + 1, number - slice_count + 1);
    for (auto index = first; index <= number; ++index)
        counts.ring[static_cast<std::size_t>(index % slice_count)] = {};
    counts.newest = std::max(counts.newest, number);
}

retry_counts::slice& current(retry_counts& counts)
{
    return counts
        .ring[static_cast<std::size_t>(counts.newest) % retry_counts::slices];
}

} // namespace

void count_first_attempt(retry_counts& counts, const shared_retry_limit& limit,
                         time_point_t now)
{
    advance(counts, slice_number(limit, now));
    ++current(counts).requests;
}

bool acquire_retry(retry_counts& counts, const shared_retry_limit& limit,
                   time_point_t now)
{
    advance(counts, slice_number(limit, now));
    double requests = 0;
    double retries = 0;
    for (const auto& each : counts.ring)
    {
        requests += each.requests;
        retries += each.retries;
    }
    const auto allowed =
        used_share * (limit.ratio * requests +
                      limit.slack / static_cast<double>(
                                        std::max<std::size_t>(1, limit.hosts)));
    if (retries + 1 > allowed)
        return false;
    ++current(counts).retries;
    return true;
}

} // namespace rhubarbgrade
