#include <rhubarbgrade/detail/fleet/evacuations.hpp>

#include <tuple>   // tie
#include <utility> // exchange

namespace rhubarbgrade
{

bool merge(evacuation_book& book, const evacuation_list& list)
{
    if (std::tie(list.era, list.revision) <=
        std::tie(book.list.era, book.list.revision))
        return false;
    const bool zones_changed = list.zones != book.list.zones;
    book.list = list;
    // Changes that the list contains may be recorded again: the last one of
    // each zone counts.
    book.next = list.zones;
    return zones_changed;
}

void record_change(evacuation_book& book, const std::string& zone,
                   bool evacuated)
{
    book.changed = true;
    if (evacuated)
        book.next.insert(zone);
    else
        book.next.erase(zone);
}

bool reach_position(evacuation_book& book, std::uint64_t era,
                    std::uint64_t revision)
{
    if (!std::exchange(book.changed, false))
        return false;
    const bool zones_changed = merge(book, {era, revision, book.next});
    // Older changes than the list in force are contained in it.
    book.next = book.list.zones;
    return zones_changed;
}

} // namespace rhubarbgrade
