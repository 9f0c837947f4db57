#include <rhubarbgrade/detail/fleet/endpoint_book.hpp>

#include <cstddef>     // size_t
#include <map>         // map
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace rhubarbgrade
{

namespace
{

/// A removal this soon after the store's return, or while it was away, may be
/// a lapse: the endpoint could not write its heartbeat.
constexpr milliseconds lapse_window{1000};

/// Part of a service's endpoints that must vanish together to look like a
/// lapse. Fewer are taken to be gone: the outage may have been this host's
/// alone, and a leaving endpoint must get nothing.
constexpr std::size_t lapse_part = 3;

bool may_be_lapse(const endpoint_book& book, time_point_t now)
{
    return !book.reachable || now - book.back_since < lapse_window;
}

struct service_count
{
    std::size_t lapsed = 0;
    std::size_t known = 0;
};

std::map<std::string_view, service_count> count(const endpoint_book& book)
{
    std::map<std::string_view, service_count> counts;
    for (const auto& [id, known] : book.endpoints)
    {
        auto& mine = counts[known.entry.service];
        ++mine.known;
        mine.lapsed += known.lapsed ? 1 : 0;
    }
    return counts;
}

} // namespace

void note_store(endpoint_book& book, bool answered, time_point_t now)
{
    if (!answered)
        book.last_failure = now;
    else if (!book.reachable)
        book.back_since = now;
    book.reachable = answered;
}

void put_endpoint(endpoint_book& book, const endpoint_entry& entry,
                  time_point_t now)
{
    auto& known = book.endpoints[entry.id];
    if (known.entry.id.empty() || known.entry.started != entry.started)
        known.seen = now;
    known.entry = entry;
    known.gone = false;
    known.lapsed = false;
}

void remove_endpoint(endpoint_book& book, std::string_view id, time_point_t now)
{
    const auto known = book.endpoints.find(id);
    if (known == book.endpoints.end() || known->second.gone)
        return;
    known->second.gone = true;
    known->second.gone_at = now;
    known->second.lapsed =
        may_be_lapse(book, now) && !known->second.entry.leaving;
}

void replace_endpoints(endpoint_book& book,
                       const std::vector<endpoint_entry>& entries,
                       time_point_t now)
{
    std::set<std::string, std::less<>> present;
    for (const auto& entry : entries)
    {
        present.insert(entry.id);
        put_endpoint(book, entry, now);
    }
    for (const auto& [id, known] : book.endpoints)
        if (!present.contains(id))
            remove_endpoint(book, id, now);
}

std::vector<endpoint_entry> usable_endpoints(endpoint_book& book,
                                             time_point_t now)
{
    const auto counts = count(book);
    std::vector<endpoint_entry> usable;
    for (auto it = book.endpoints.begin(); it != book.endpoints.end();)
    {
        const auto& known = it->second;
        const auto& together = counts.at(known.entry.service);
        const bool held =
            known.lapsed && together.lapsed * lapse_part > together.known &&
            (!book.reachable || now - book.back_since < lapse_grace);
        if (known.gone && !held)
        {
            it = book.endpoints.erase(it);
            continue;
        }
        if (!known.entry.leaving)
            usable.push_back(known.entry);
        ++it;
    }
    return usable;
}

} // namespace rhubarbgrade
