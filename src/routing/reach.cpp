#include <rhubarbgrade/detail/routing/reach.hpp>

#include <algorithm> // clamp, count_if, min

namespace rhubarbgrade
{

namespace
{

/// Endpoints that have to fail before a host counts as cut: fewer may have
/// crashed together.
constexpr std::size_t failures_to_cut = 3;

/// The same if the host is cut from another service already.
constexpr std::size_t failures_to_follow = 2;

/// Age up to which a failure counts: the contact bound.
constexpr milliseconds failure_lifetime{3000};

std::size_t count_recent(const service_reach& known, time_point_t now)
{
    return static_cast<std::size_t>(
        std::count_if(known.failures.begin(), known.failures.end(),
                      [now](const auto& each)
                      {
                          return now - each.second < failure_lifetime;
                      }));
}

} // namespace

void record_open(service_reach& known, std::uint64_t endpoint, bool opened,
                 time_point_t now)
{
    if (opened)
        known = {};
    else
        known.failures[endpoint] = now;
}

void forget_endpoint(service_reach& known, std::uint64_t endpoint)
{
    known.failures.erase(endpoint);
}

bool update_cut(service_reach& known, std::size_t endpoints, bool others_cut,
                time_point_t now)
{
    const auto needed = std::clamp<std::size_t>(
        endpoints, 1, others_cut ? failures_to_follow : failures_to_cut);
    if (known.cut || count_recent(known, now) < needed)
        return false;
    known.cut = true;
    return true;
}

bool in_doubt(const service_reach& known, time_point_t now)
{
    return known.cut || count_recent(known, now) > 0;
}

bool may_be_cut(const service_reach& known, time_point_t now)
{
    return known.cut || count_recent(known, now) > 1;
}

} // namespace rhubarbgrade
