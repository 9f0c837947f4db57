#include "caller_budget.hpp"

#include <algorithm> // max, sort
#include <tuple>     // tuple

namespace rhubarbgrade
{

namespace
{

/// One in so many parts of the machine's memory is for callers. The rest is for
/// the control state, for what the kernel holds of their bytes, and for what
/// the allocator keeps.
constexpr std::size_t memory_parts = 3;

/// Descriptors that the platform keeps for files.
constexpr std::size_t file_descriptors = 200;

/// Descriptors for the store, readiness checks and listening.
constexpr std::size_t own_descriptors = 64;

/// One in so many descriptors is for connections that are passed on for other
/// hosts, one for their state requests, and one for idle connections to
/// endpoints.
constexpr std::size_t relay_part = 8;
constexpr std::size_t state_request_part = 16;
constexpr std::size_t idle_part = 16;

constexpr std::size_t min_descriptors = 16;

/// One in so many is for connections that hold a small amount, in bytes: a
/// request with a head of the largest size and a body of some kilobytes.
constexpr std::size_t small_part = 4;
constexpr std::size_t small_amount = 65536;

/// Time without progress after which a caller does not read its answer, and
/// after which a connection that has sent nothing yet is closed first.
constexpr milliseconds stall_time{1000};

std::size_t missing(std::size_t limit, std::size_t total, std::size_t before,
                    std::size_t wanted)
{
    if (wanted <= before)
        return 0;
    const auto after = total - before + wanted;
    return after > limit ? after - limit : 0;
}

/// Whether a connection that holds so much may take of the last part.
bool is_small(const caller_share& share, std::size_t bytes)
{
    return bytes <= small_amount && !share.sends_ahead;
}

bool is_less(const caller_amount& a, const caller_amount& b)
{
    return a.bytes <= b.bytes && a.descriptors <= b.descriptors;
}

} // namespace

caller_amount caller_limits_of(const node_settings& settings)
{
    constexpr std::size_t bytes_per_mb = 1UL << 20U;
    const auto sockets =
        std::max(settings.descriptors, file_descriptors) - file_descriptors;
    const auto others = settings.descriptors / relay_part +
                        settings.descriptors / state_request_part +
                        sockets / idle_part + own_descriptors;
    return {settings.memory_mb * bytes_per_mb / memory_parts,
            std::max(sockets, others + min_descriptors) - others};
}

bool may_shed(const caller_share& share, time_point_t now)
{
    if (share.shed)
        return false;
    switch (share.stage)
    {
    case caller_stage::silent:
    case caller_stage::idle:
    case caller_stage::reading:
        return true;
    case caller_stage::answering:
        return now - share.last_progress >= stall_time;
    case caller_stage::serving:
        break;
    }
    return false;
}

caller_budget::caller_budget(const caller_amount& limits) : m_limits(limits)
{
}

void caller_budget::set(caller_share& share, const caller_amount& amount)
{
    const auto apply = [&](caller_amount& sum)
    {
        sum.bytes = sum.bytes - share.held.bytes + amount.bytes;
        sum.descriptors =
            sum.descriptors - share.held.descriptors + amount.descriptors;
    };
    apply(m_held);
    if (share.shed)
        apply(m_shed);
    share.held = amount;
}

void caller_budget::shed(caller_share& share)
{
    m_shed.bytes += share.held.bytes;
    m_shed.descriptors += share.held.descriptors;
    share.shed = true;
    ++m_shed_count;
    if (share.on_shed)
        share.on_shed();
}

std::vector<caller_share*>
caller_budget::candidates(const caller_share& claimant, time_point_t now) const
{
    std::vector<caller_share*> found;
    for (auto* const each : m_shares)
        if (each != &claimant && may_shed(*each, now))
            found.push_back(each);
    return found;
}

bool caller_budget::free_bytes(std::size_t missing,
                               const caller_share& claimant, std::size_t wanted,
                               time_point_t now)
{
    if (m_shed.bytes >= missing)
        return true;
    auto found = candidates(claimant, now);
    std::erase_if(found,
                  [&](const auto* each)
                  {
                      return each->held.bytes < wanted;
                  });
    std::sort(found.begin(), found.end(),
              [](const auto* a, const auto* b)
              {
                  return std::tuple(b->held.bytes, a->last_progress) <
                         std::tuple(a->held.bytes, b->last_progress);
              });
    auto freed = m_shed.bytes;
    std::size_t count = 0;
    for (; count < found.size() && freed < missing; ++count)
        freed += found[count]->held.bytes;
    if (freed < missing)
        return false;
    for (std::size_t i = 0; i < count; ++i)
        shed(*found[i]);
    return true;
}

bool caller_budget::free_descriptors(std::size_t missing,
                                     const caller_share& claimant,
                                     time_point_t now)
{
    if (m_shed.descriptors >= missing)
        return true;
    auto found = candidates(claimant, now);
    // Those that hold little and go on are not closed for one that holds much.
    if (!is_small(claimant, claimant.held.bytes))
        std::erase_if(found,
                      [&](const auto* each)
                      {
                          return is_small(*each, each->held.bytes) &&
                                 now - each->last_progress < stall_time;
                      });
    const auto rank = [&](const caller_share& share)
    {
        const bool is_silent = share.stage == caller_stage::silent &&
                               now - share.last_progress >= stall_time;
        return std::tuple(!is_silent, share.last_progress);
    };
    std::sort(found.begin(), found.end(),
              [&](const auto* a, const auto* b)
              {
                  return rank(*a) < rank(*b);
              });
    auto freed = m_shed.descriptors;
    std::size_t count = 0;
    for (; count < found.size() && freed < missing; ++count)
        freed += found[count]->held.descriptors;
    if (freed < missing)
        return false;
    for (std::size_t i = 0; i < count; ++i)
        shed(*found[i]);
    return true;
}

hold_result caller_budget::hold(caller_share& share,
                                const caller_amount& wanted, time_point_t now)
{
    if (share.shed && !is_less(wanted, share.held))
        return hold_result::refused;
    auto limits = m_limits;
    if (!is_small(share, wanted.bytes))
    {
        limits.bytes -= limits.bytes / small_part;
        limits.descriptors -= limits.descriptors / small_part;
    }
    const auto missing_bytes =
        missing(limits.bytes, m_held.bytes, share.held.bytes, wanted.bytes);
    const auto missing_descriptors =
        missing(limits.descriptors, m_held.descriptors, share.held.descriptors,
                wanted.descriptors);
    if (missing_bytes != 0 || missing_descriptors != 0)
    {
        const bool is_freed =
            free_bytes(missing_bytes, share, wanted.bytes, now) &&
            free_descriptors(missing_descriptors, share, now);
        return is_freed ? hold_result::wait : hold_result::refused;
    }
    m_shares.insert(&share);
    set(share, wanted);
    return hold_result::held;
}

void caller_budget::add(caller_share& share, const caller_amount& amount)
{
    m_shares.insert(&share);
    set(share, amount);
}

void caller_budget::remove(caller_share& share)
{
    if (m_shares.erase(&share) != 0)
        set(share, {});
}

} // namespace rhubarbgrade
