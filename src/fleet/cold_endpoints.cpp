#include <rhubarbgrade/detail/fleet/cold_endpoints.hpp>

#include <algorithm> // max, min

namespace rhubarbgrade
{

namespace
{

/// Age that an entry may have where nothing tells it: two heartbeats of 1.2 s,
/// or a list that is some seconds old.
constexpr milliseconds max_entry_age{3000};

} // namespace

time_point_t cold_until(const endpoint_registry& book,
                        const listed_endpoint& endpoint, milliseconds cold_time,
                        const cold_evidence& evidence)
{
    const auto short_time = std::min(cold_time, max_entry_age);
    auto until = endpoint.cold_until;
    // What is in the first list has mostly run for long.
    if (endpoint.seen != book.first_listed_at)
        until = std::max(until, endpoint.seen + cold_time);
    else if (!evidence.others_run)
        until = std::max(until, endpoint.seen + short_time);
    if (const auto found = evidence.returns.find(endpoint.entry.zone);
        found != evidence.returns.end())
        until = std::max(until, found->second + short_time);
    return until;
}

std::map<std::uint64_t, request_share>
share_cold_endpoints(const endpoint_registry& book,
                     const deployment& configuration,
                     const cold_evidence& evidence, const std::string& self,
                     std::span<const std::string> live_hosts,
                     std::size_t all_hosts, time_point_t now)
{
    std::map<std::uint64_t, request_share> shares;
    for (const auto& [id, known] : book.endpoints)
    {
        const auto found = configuration.services.find(known.entry.service);
        if (found == configuration.services.end() ||
            found->second.cold_per_s <= 0)
            continue;
        if (now >= cold_until(book, known, found->second.cold_time, evidence))
            continue;
        const auto process = process_hash(known.entry);
        shares[process] = share_of_limit(found->second.cold_per_s, process,
                                         self, live_hosts, all_hosts);
    }
    return shares;
}

} // namespace rhubarbgrade
