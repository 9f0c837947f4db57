#include <rhubarbgrade/detail/membership/reader_choice.hpp>

#include <cstdint> // uint64_t
#include <utility> // pair

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{

std::string choose_reader(std::span<const reader_candidate> zone,
                          const reader_policy& policy)
{
    std::string best;
    std::pair<double, std::uint64_t> best_rank;
    std::size_t trying = 0;
    for (const auto& each : zone)
    {
        if (each.failing)
        {
            ++trying;
            continue;
        }
        const std::pair rank{each.capacity, hash64(each.host)};
        if (best.empty() || rank > best_rank)
        {
            best = each.host;
            best_rank = rank;
        }
    }
    return trying >= policy.trying_hosts ? std::string() : best;
}

bool reads_store(const reader_situation& situation, time_point_t now,
                 const reader_policy& policy)
{
    if (situation.chosen)
        return true;
    if (situation.others_try && situation.knows_state)
        return false;
    return now - situation.confirmed_at >
           policy.max_state_age + situation.stagger;
}

} // namespace rhubarbgrade
