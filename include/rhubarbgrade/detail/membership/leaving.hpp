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

/// @brief Names of endpoints that report that they are leaving (draining).
using leaving_set_t = std::set<std::string, std::less<>>;

/// @brief The leaving endpoints among those that one host polls.
///
/// Hosts send each other their own report and forward those of other hosts,
/// also across zones.
struct leaving_report
{
    std::string host; ///< that polls the endpoints
    std::uint64_t incarnation = 0;
    std::uint64_t count = 0; ///< heartbeat number within the incarnation
    leaving_set_t endpoints;
};

/// @brief The newest report received from a host.
struct received_report
{
    leaving_report report;
    time_point_t heard{}; ///< when it arrived
};

/// @brief The newest reports, by the host that made them.
using leaving_reports_t = std::map<std::string, received_report, std::less<>>;

/// @brief Lifetime of a report that is not renewed; its host has ended or is
///        disconnected. Equals twenty heartbeats at the default settings.
constexpr std::chrono::seconds leaving_report_ttl{10};

/// @brief Merges reports that are newer than the known ones; removes expired
///        reports and those of hosts that are not in the host list.
/// @param[in,out] known     the newest reports of other hosts
/// @param[in]     received  reports of any hosts
/// @param[in]     self      this host; its own reports are ignored
/// @param[in]     members   the host list
/// @param[in]     now       the time
/// @return whether the set of leaving endpoints may have changed
bool merge_reports(leaving_reports_t& known,
                   std::span<const leaving_report> received,
                   std::string_view self, const members_t& members,
                   time_point_t now);

/// @brief All endpoints that are leaving according to any report.
leaving_set_t leaving_endpoints(const leaving_reports_t& known);

} // namespace rhubarbgrade
