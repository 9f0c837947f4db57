#pragma once

#include <chrono>      // seconds
#include <cstdint>     // uint64_t
#include <map>         // map
#include <set>         // set
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/types.hpp>         // time_point_t
#include <rhubarbgrade/detail/membership/members.hpp> // members_t

namespace rhubarbgrade
{

/// @brief Names of endpoints that say that they leave.
using leaving_set_t = std::set<std::string, std::less<>>;

/// @brief What the host that asks some endpoints for their load was told.
///
/// Travels between hosts, also of other zones; a host passes on what it heard.
struct leaving_report
{
    std::string host; ///< that asked the endpoints
    std::uint64_t incarnation = 0;
    std::uint64_t count = 0; ///< grows with each heartbeat of an incarnation
    leaving_set_t endpoints;
};

/// @brief The newest report of a host.
struct heard_report
{
    leaving_report report;
    time_point_t heard{}; ///< when a newer one last came
};

/// @brief The newest reports, by the host that made them.
using leaving_reports_t = std::map<std::string, heard_report, std::less<>>;

/// @brief A report that nobody renews for so long no longer counts: its host
///        is gone, or cut off. Twenty heartbeats of the default settings.
constexpr std::chrono::seconds leaving_memory{10};

/// @brief Takes over reports that are newer than the known ones and forgets
///        those not renewed, and those of hosts not in the list.
/// @param[in,out] known    the newest reports of other hosts
/// @param[in]     heard    reports of any host
/// @param[in]     self     this host, whose own report is not taken from others
/// @param[in]     members  the host list
/// @param[in]     now      the time
/// @return whether the set of leaving endpoints may have changed
bool merge_reports(leaving_reports_t& known,
                   std::span<const leaving_report> heard, std::string_view self,
                   const members_t& members, time_point_t now);

/// @brief The endpoints that leave, by all reports.
leaving_set_t leaving_endpoints(const leaving_reports_t& known);

} // namespace rhubarbgrade
