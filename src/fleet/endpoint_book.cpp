#include <rhubarbgrade/detail/fleet/endpoint_book.hpp>

#include <algorithm>   // max
#include <chrono>      // ceil
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <map>         // map
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move, pair
#include <vector>      // vector

namespace rhubarbgrade
{

namespace
{

/// More than one in this many endpoints of a service must vanish for the
/// entries to count as lapsed. If fewer vanish, the outage may have affected
/// only this host, and endpoints that have left must get no requests.
constexpr std::size_t lapse_divisor = 3;

/// Age up to which a removed entry is remembered; a copy that the store comes
/// back from is some seconds old.
constexpr milliseconds former_lifetime{60000};

/// During an outage of the store, and shortly after it, endpoints can't write
/// their heartbeats, and entries lapse although the endpoints still run.
bool may_be_lapse(const endpoint_registry& book, time_point_t now)
{
    return in_outage(book, now) || now - book.back_since < lapse_grace;
}

struct service_count
{
    std::size_t lapsed = 0;
    std::size_t known = 0;
};

/// The names are copies: entries are erased while the counts are used.
std::map<std::string, service_count>
counts_by_service(const endpoint_registry& book)
{
    std::map<std::string, service_count> counts;
    for (const auto& [id, known] : book.endpoints)
    {
        auto& service_counts = counts[known.entry.service];
        ++service_counts.known;
        service_counts.lapsed += known.lapsed ? 1 : 0;
    }
    return counts;
}

} // namespace

void record_store_call(endpoint_registry& book, bool answered, time_point_t now)
{
    if (answered)
    {
        if (in_outage(book, now))
            book.back_since = now;
        book.last_answer = now;
    }
    else if (book.reachable || book.failing_since == time_point_t{})
        book.failing_since = now;
    book.reachable = answered;
}

bool in_outage(const endpoint_registry& book, time_point_t now)
{
    if (book.reachable || book.failing_since == time_point_t{})
        return false;
    const auto since =
        std::max(book.last_answer, book.failing_since - outage_detection);
    return now - since >= min_lapse_outage;
}

std::size_t entry_bytes(const endpoint_entry& entry)
{
    return sizeof(std::pair<const std::string, listed_endpoint>) +
           2 * entry.id.size() + entry.service.size() +
           entry.address.ip.size() + entry.zone.size() + entry.version.size();
}

void append_entry(entry_list& list, endpoint_entry entry)
{
    const auto bytes = entry_bytes(entry);
    if (list.bytes + bytes > max_list_bytes)
    {
        ++list.left_out;
        return;
    }
    list.bytes += bytes;
    list.entries.push_back(std::move(entry));
}

bool upsert_endpoint(endpoint_registry& book, const endpoint_entry& entry,
                     time_point_t now)
{
    const auto bytes = entry_bytes(entry);
    if (!book.endpoints.contains(entry.id) &&
        book.bytes + bytes > max_list_bytes)
        return false;
    auto& known = book.endpoints[entry.id];
    if (!known.entry.id.empty())
        book.bytes -= entry_bytes(known.entry);
    book.bytes += bytes;
    if (known.entry.id.empty() || known.entry.started != entry.started)
    {
        const auto former = book.former.find(entry.id);
        const bool same_process = former != book.former.end() &&
                                  former->second.started == entry.started;
        known.seen = same_process ? former->second.seen : now;
    }
    known.entry = entry;
    known.entry.cold = {};
    known.cold_until = now + entry.cold;
    known.gone = false;
    known.lapsed = false;
    known.kept_until = {};
    known.held_until = {};
    book.former.erase(entry.id);
    return true;
}

endpoint_entry shared_entry(const listed_endpoint& endpoint, time_point_t now)
{
    auto entry = endpoint.entry;
    if (endpoint.cold_until > now)
        entry.cold = std::chrono::ceil<milliseconds>(endpoint.cold_until - now);
    return entry;
}

void remove_endpoint(endpoint_registry& book, std::string_view id,
                     time_point_t now)
{
    const auto known = book.endpoints.find(id);
    if (known == book.endpoints.end() || known->second.gone)
        return;
    known->second.gone = true;
    known->second.gone_at = now;
    known->second.lapsed =
        may_be_lapse(book, now) && !known->second.entry.leaving;
    if (!known->second.lapsed)
        book.former[known->first] = {known->second.entry.started, now,
                                     known->second.seen};
}

void add_endpoints(endpoint_registry& book,
                   const std::vector<endpoint_entry>& entries, time_point_t now)
{
    if (book.first_listed_at == time_point_t{})
        book.first_listed_at = now;
    for (const auto& entry : entries)
        upsert_endpoint(book, entry, now);
}

void replace_endpoints(endpoint_registry& book,
                       const std::vector<endpoint_entry>& entries,
                       time_point_t now)
{
    add_endpoints(book, entries, now);
    std::set<std::string, std::less<>> present;
    for (const auto& entry : entries)
        present.insert(entry.id);
    for (const auto& [id, known] : book.endpoints)
        if (!present.contains(id))
            remove_endpoint(book, id, now);
}

void restore_endpoints(endpoint_registry& book,
                       const std::vector<endpoint_entry>& entries,
                       time_point_t now)
{
    std::set<std::string, std::less<>> present;
    for (auto entry : entries)
    {
        present.insert(entry.id);
        const auto known = book.endpoints.find(entry.id);
        time_point_t cold_until{};
        if (known != book.endpoints.end() && !known->second.gone)
        {
            // An older process than the known one has ended.
            if (entry.started < known->second.entry.started)
                continue;
            entry.leaving = entry.leaving ||
                            (known->second.entry.started == entry.started &&
                             known->second.entry.leaving);
            // It may have become cold since.
            if (entry.started == known->second.entry.started)
                cold_until = known->second.cold_until;
        }
        const auto former = book.former.find(entry.id);
        const bool had_left = former != book.former.end() &&
                              entry.started <= former->second.started;
        if (!upsert_endpoint(book, entry, now))
            continue;
        auto& listed = book.endpoints[entry.id];
        listed.cold_until = std::max(listed.cold_until, cold_until);
        if (had_left)
            listed.held_until = now + entry_lifetime;
    }
    for (auto& [id, known] : book.endpoints)
        if (!known.gone && !present.contains(id))
        {
            remove_endpoint(book, id, now);
            if (!known.entry.leaving)
                known.kept_until = now + lapse_grace;
        }
}

std::vector<endpoint_entry> usable_endpoints(endpoint_registry& book,
                                             time_point_t now)
{
    std::erase_if(book.former,
                  [now](const auto& each)
                  {
                      return now - each.second.gone_at > former_lifetime;
                  });
    const auto counts = counts_by_service(book);
    std::vector<endpoint_entry> usable;
    for (auto it = book.endpoints.begin(); it != book.endpoints.end();)
    {
        const auto& known = it->second;
        const auto& same_service = counts.at(known.entry.service);
        const bool kept =
            now < known.kept_until ||
            (known.lapsed &&
             same_service.lapsed * lapse_divisor > same_service.known &&
             may_be_lapse(book, now));
        if (known.gone && !kept)
        {
            book.bytes -= entry_bytes(known.entry);
            it = book.endpoints.erase(it);
            continue;
        }
        if (!known.entry.leaving && now >= known.held_until)
            usable.push_back(known.entry);
        ++it;
    }
    return usable;
}

std::set<std::uint64_t> draining_processes(const endpoint_registry& book)
{
    std::set<std::uint64_t> draining;
    for (const auto& [id, known] : book.endpoints)
        if (known.entry.leaving && !known.gone)
            draining.insert(process_hash(known.entry));
    return draining;
}

} // namespace rhubarbgrade
