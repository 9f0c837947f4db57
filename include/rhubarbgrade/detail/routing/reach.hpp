#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief What a host knows of its own path to the endpoints of a service.
///
/// A host whose connections to several endpoints fail to open, with none that
/// opens in between, is cut from the service until one opens again. Connections
/// that are open already prove nothing: a cut may spare them.
struct service_reach
{
    /// Last failure to open a connection, by endpoint, since one has opened.
    std::map<std::uint64_t, time_point_t> failures;
    bool cut = false;
};

/// @brief Records an attempt to open a connection of this host's own.
void record_open(service_reach& known, std::uint64_t endpoint, bool opened,
                 time_point_t now);

/// @brief Forgets the failures of an endpoint that is leaving. It may have
///        exited, so they tell nothing of the path.
void forget_endpoint(service_reach& known, std::uint64_t endpoint);

/// @brief Decides whether the host is cut from the service.
/// @param[in] endpoints   number that the service has
/// @param[in] others_cut  whether the host is cut from another service; fewer
///                        failures then suffice
/// @return whether this has changed from not cut to cut
bool update_cut(service_reach& known, std::size_t endpoints, bool others_cut,
                time_point_t now);

/// @brief Whether endpoints have failed lately and none has answered since, so
///        that it is worth finding out about the others.
bool in_doubt(const service_reach& known, time_point_t now);

/// @brief Whether a failure to open a connection may be the fault of this
///        host's path and not of the endpoint: another one has failed as well.
bool may_be_cut(const service_reach& known, time_point_t now);

} // namespace rhubarbgrade
