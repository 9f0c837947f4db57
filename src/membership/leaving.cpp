#include <rhubarbgrade/detail/membership/leaving.hpp>

#include <string_view> // string_view
#include <utility>     // pair

namespace rhubarbgrade
{
namespace
{

bool newer(const leaving_report& report, const leaving_report& known)
{
    return std::pair(report.incarnation, report.count) >
           std::pair(known.incarnation, known.count);
}

} // namespace

bool merge_reports(leaving_reports_t& known,
                   std::span<const leaving_report> received,
                   std::string_view self, const members_t& members,
                   time_point_t now)
{
    bool changed = false;
    for (const auto& report : received)
    {
        if (report.host == self || !members.contains(report.host))
            continue;
        auto& entry = known[report.host];
        if (!newer(report, entry.report))
            continue;
        changed = changed || entry.report.endpoints != report.endpoints;
        entry = {report, now};
    }
    const auto removed =
        std::erase_if(known,
                      [&](const auto& item)
                      {
                          return now - item.second.heard > leaving_report_ttl ||
                                 !members.contains(item.first);
                      });
    return changed || removed > 0;
}

leaving_set_t leaving_endpoints(const leaving_reports_t& known)
{
    leaving_set_t all;
    for (const auto& [host, entry] : known)
        all.insert(entry.report.endpoints.begin(),
                   entry.report.endpoints.end());
    return all;
}

} // namespace rhubarbgrade
