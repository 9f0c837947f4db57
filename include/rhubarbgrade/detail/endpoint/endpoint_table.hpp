#pragma once

#include <cstdint>    // uint32_t, uint64_t
#include <functional> // function, less
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <mutex>      // mutex
#include <set>        // set
#include <string>     // string

#include <rhubarbgrade/detail/base/error.hpp>          // result
#include <rhubarbgrade/detail/base/types.hpp>          // time_point_t
#include <rhubarbgrade/detail/control/snapshot.hpp>    // routing_snapshot
#include <rhubarbgrade/detail/endpoint/slot_lease.hpp> // slot_lease
#include <rhubarbgrade/detail/routing/choose.hpp>      // random_source_t
#include <rhubarbgrade/detail/routing/ejection.hpp>    // endpoint_health

namespace rhubarbgrade
{

/// @brief A request that needs an endpoint.
struct slot_request
{
    std::string service;
    std::string version; ///< as picked by @ref endpoint_table::pick_version
    int priority = 5;
    time_point_t deadline;          ///< wait no longer than until here
    std::set<std::string> excluded; ///< endpoints that failed the request
};

/// @brief Load of one endpoint as this router sees it.
struct endpoint_load
{
    std::uint32_t in_flight = 0;
    std::uint32_t reported = 0;
    bool ejected = false;
};

/// @brief Requests in flight at each endpoint and those that wait for a slot.
///
/// Shared by all traffic threads. Waiting requests are served by priority,
/// then by arrival.
class endpoint_table
{
public:
    using snapshot_source_t =
        std::function<std::shared_ptr<const routing_snapshot>()>;

    /// @param[in] zone        this router's zone
    /// @param[in] queue_size  requests that may wait for each service
    /// @param[in] snapshot    the newest control state
    /// @param[in] random      for choices; called under a lock
    endpoint_table(std::string zone, std::size_t queue_size,
                   snapshot_source_t snapshot, random_source_t random);
    ~endpoint_table();

    /// @brief Picks the version for a new request by the service's split.
    ///
    /// Counted exactly on each route: among its first n requests the new
    /// version never gets more than its share of n.
    std::string pick_version(const std::string& service,
                             const std::string& route);

    /// @brief Waits for a slot.
    /// @return a lease, or @ref errc::overloaded, refused at once if the wait
    ///         would be too long, or @ref errc::no_endpoint
    result<slot_lease> acquire(const slot_request& request);

    /// @brief Whether a service has an endpoint that does not leave, beside
    ///        the excluded ones.
    bool any_left(const std::string& service,
                  const std::set<std::string>& excluded) const;

    /// @brief Notes how a request at an endpoint ended.
    void note_result(const std::string& endpoint, bool good);

    /// @brief Notes an endpoint's own report of its running requests.
    void put_reported(const std::string& endpoint, std::uint32_t running);

    /// @brief All endpoints that have been used or reported.
    std::map<std::string, endpoint_load> loads() const;

    /// @brief Requests that wait for a slot now.
    std::size_t waiting() const;

private:
    friend class slot_lease;

    struct state;
    struct waiter;
    using queue_t = std::map<std::pair<int, std::uint64_t>, waiter*>;

    void release(const std::string& endpoint, const std::string& service,
                 time_point_t since);
    std::unique_ptr<slot_lease> try_take(const slot_request& request);
    std::unique_ptr<slot_lease> take_from(const routing_snapshot& shot,
                                          const slot_request& request,
                                          const std::string& version);
    bool too_busy(const slot_request& request, const queue_t& queue) const;
    result<slot_lease> wait(std::unique_lock<std::mutex>& lock,
                            const slot_request& request);
    void wake_first(const std::string& service);

    std::string m_zone;
    std::size_t m_queue_size;
    snapshot_source_t m_snapshot;
    random_source_t m_random;
    mutable std::mutex m_mutex;
    std::map<std::string, state> m_states;
    std::map<std::string, queue_t> m_queues;
    std::map<std::string, double> m_split_credit; ///< by move and route
    std::map<std::string, double> m_service_ms;   ///< by service
    std::uint64_t m_arrivals = 0;
};

} // namespace rhubarbgrade
