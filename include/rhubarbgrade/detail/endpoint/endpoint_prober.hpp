#pragma once

#include <functional> // function
#include <map>        // map
#include <set>        // set
#include <stop_token> // stop_token
#include <string>     // string
#include <thread>     // jthread

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

namespace rhubarbgrade
{

class control_plane;
class endpoint_table;
struct endpoint;
struct in_doubt_request;

/// @brief Polls the load and the draining state of endpoints and resolves
///        requests of failed routers; runs on a thread of its own.
///
/// The endpoints are partitioned among the live routers of their zone, so
/// that the number of probes does not grow with the number of routers.
class endpoint_prober
{
public:
    /// @brief Starts the probing thread.
    /// @param[in] host       name of this host
    /// @param[in] zone       zone of this host
    /// @param[in] interval   pause between two rounds of probes
    /// @param[in] control    provides the endpoints to probe and the requests
    ///                       to resolve, and receives the results
    /// @param[in] endpoints  receives the reported load
    endpoint_prober(std::string host, std::string zone, milliseconds interval,
                    control_plane& control, endpoint_table& endpoints);
    ~endpoint_prober();

private:
    void run(const std::stop_token& stop);
    void probe_all();
    void probe(const endpoint& object);
    void resolve_all();
    void resolve(const in_doubt_request& request);

    std::string m_host;
    std::string m_zone;
    milliseconds m_interval;
    control_plane& m_control;
    endpoint_table& m_endpoints;
    std::set<std::string, std::less<>> m_leaving_endpoints; ///< draining
    std::jthread m_thread;
};

} // namespace rhubarbgrade
