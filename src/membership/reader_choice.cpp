#include <rhubarbgrade/detail/membership/reader_choice.hpp>

#include <algorithm> // count_if, find_if, max, min
#include <cstdint>   // uint64_t
#include <utility>   // pair

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{

namespace
{

using rank_t = std::pair<double, std::uint64_t>;

rank_t rank_of(const reader_candidate& host)
{
    return {host.capacity, hash64(host.host)};
}

} // namespace

std::string choose_reader(std::span<const reader_candidate> zone,
                          const reader_policy& policy)
{
    const auto trying =
        static_cast<std::size_t>(std::count_if(zone.begin(), zone.end(),
                                               [](const auto& each)
                                               {
                                                   return each.failing;
                                               }));
    std::string best;
    rank_t best_rank;
    for (const auto& each : zone)
    {
        if (each.failing || (trying >= policy.trying_hosts && !each.answered))
            continue;
        const auto rank = rank_of(each);
        if (best.empty() || rank > best_rank)
        {
            best = each.host;
            best_rank = rank;
        }
    }
    return best;
}

std::size_t reader_rank(std::span<const reader_candidate> zone,
                        std::string_view host)
{
    const auto self = std::find_if(zone.begin(), zone.end(),
                                   [&](const auto& each)
                                   {
                                       return each.host == host;
                                   });
    if (self == zone.end())
        return zone.size();
    const auto own = rank_of(*self);
    return static_cast<std::size_t>(std::count_if(zone.begin(), zone.end(),
                                                  [&](const auto& each)
                                                  {
                                                      return rank_of(each) >
                                                             own;
                                                  }));
}

milliseconds max_state_age(std::size_t rank, const reader_policy& policy)
{
    // The best host is like the next one: it reads unless others don't see it.
    const auto place = std::max<std::size_t>(rank, 1);
    const auto steps =
        place > policy.deputies ? 0 : policy.deputies + 1 - place;
    const auto latest = policy.apply_bound - policy.apply_time;
    return std::max(policy.min_state_age,
                    latest - policy.deputy_step *
                                 static_cast<milliseconds::rep>(steps));
}

milliseconds max_reader_age(const reader_policy& policy)
{
    return std::min(policy.reader_age_limit,
                    max_state_age(1, policy) - policy.news_time);
}

store_use use_of_store(const reader_situation& situation, time_point_t now,
                       const reader_policy& policy)
{
    if (situation.chosen)
        return store_use::reads;
    if (now - situation.confirmed_at < max_state_age(situation.rank, policy))
        return store_use::none;
    // A host that knows nothing can serve nobody.
    if (!situation.knows_state || !situation.others_try)
        return store_use::reads;
    const bool tries =
        situation.answered || situation.rank < policy.trying_hosts;
    return situation.failing || !tries ? store_use::asks : store_use::reads;
}

} // namespace rhubarbgrade
