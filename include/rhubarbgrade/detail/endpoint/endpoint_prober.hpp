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
struct doubtful_request;

/// @brief The thread that asks endpoints for their load, whether they leave,
///        and what became of requests of a dead router.
///
/// The endpoints are split among the live routers of their zone, so that the
/// number of questions does not grow with the fleet.
class endpoint_prober
{
public:
    /// @param[in] host       this host
    /// @param[in] zone       its zone
    /// @param[in] interval   between two rounds
    endpoint_prober(std::string host, std::string zone, milliseconds interval,
                    control_plane& control, endpoint_table& endpoints);
    ~endpoint_prober();

private:
    void run(const std::stop_token& stop);
    void probe_all();
    void probe(const endpoint& object);
    void resolve_all();
    void resolve(const doubtful_request& request);

    std::string m_host;
    std::string m_zone;
    milliseconds m_interval;
    control_plane& m_control;
    endpoint_table& m_endpoints;
    std::set<std::string, std::less<>> m_leaving;
    std::jthread m_thread;
};

} // namespace rhubarbgrade
