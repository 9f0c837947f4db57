#include <rhubarbgrade/detail/routing/crash_evidence.hpp>

#include <algorithm> // any_of, sort
#include <chrono>    // minutes
#include <vector>    // vector

namespace rhubarbgrade
{
namespace
{

/// Crashes less than this apart count as one event.
constexpr milliseconds same_event{100};

/// Time to the first trial, and the factor by which each further one takes
/// longer.
constexpr std::chrono::minutes first_trial{1};
constexpr int trial_backoff = 4;

/// @brief The crashes that one suspect may have caused.
struct charge
{
    std::vector<time_point_t> times;
    std::uint32_t depth = 0;
};

int count_events(std::vector<time_point_t> times)
{
    std::sort(times.begin(), times.end());
    int events = 0;
    time_point_t last{};
    for (const auto each : times)
        if (events == 0 || each - last >= same_event)
        {
            ++events;
            last = each;
        }
    return events;
}

bool is_explained(const crash_record& crash,
                  const std::set<std::uint64_t>& causes)
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                       [&](const auto& each)
                       {
                           return !each.second.cleared &&
                                  causes.contains(each.first);
                       });
}

std::map<std::uint64_t, charge> charges(const crash_records_t& crashes,
                                        const std::set<std::uint64_t>& causes)
{
    std::map<std::uint64_t, charge> by_suspect;
    for (const auto& [process, crash] : crashes)
    {
        if (is_explained(crash, causes))
            continue;
        for (const auto& [id, suspect] : crash.suspects)
        {
            if (suspect.cleared)
                continue;
            by_suspect[id].times.push_back(crash.at);
            by_suspect[id].depth = suspect.depth;
        }
    }
    return by_suspect;
}

} // namespace

std::set<std::uint64_t> find_crash_causes(const crash_records_t& crashes,
                                          const std::set<std::uint64_t>& known)
{
    auto causes = known;
    for (;;)
    {
        std::set<std::uint64_t> chosen;
        int most_events = quarantine_threshold;
        std::uint32_t greatest_depth = 0;
        for (const auto& [id, each] : charges(crashes, causes))
        {
            const auto events = count_events(each.times);
            if (events < most_events ||
                (events == most_events && each.depth < greatest_depth))
                continue;
            if (events > most_events || each.depth > greatest_depth)
                chosen.clear();
            most_events = events;
            greatest_depth = each.depth;
            chosen.insert(id);
        }
        if (chosen.empty())
            break;
        causes.merge(chosen);
    }
    std::erase_if(causes,
                  [&](std::uint64_t each)
                  {
                      return known.contains(each);
                  });
    return causes;
}

bool is_exonerated(std::uint64_t suspect, const crash_records_t& crashes,
                   const std::set<std::uint64_t>& causes)
{
    bool charged = false;
    for (const auto& [process, crash] : crashes)
    {
        const auto found = crash.suspects.find(suspect);
        if (found == crash.suspects.end() || found->second.cleared)
            continue;
        if (causes.contains(suspect) || !is_explained(crash, causes))
            return false;
        charged = true;
    }
    return charged;
}

admission admit(const crash_suspects_t& suspects,
                const std::map<std::uint64_t, int>& quarantined,
                std::map<std::uint64_t, int>& trials)
{
    admission decision;
    for (const auto& [id, each] : suspects)
    {
        const auto found = quarantined.find(id);
        if (found == quarantined.end())
            continue;
        auto& made = trials[id];
        const bool due = found->second > made;
        if (due)
            made = found->second;
        decision = {id, due};
        if (!due)
            break;
    }
    return decision;
}

int quarantine_trials(milliseconds age)
{
    int trials = 0;
    milliseconds interval = first_trial;
    for (auto due = interval; age >= due; due += interval)
    {
        ++trials;
        interval *= trial_backoff;
    }
    return trials;
}

} // namespace rhubarbgrade
