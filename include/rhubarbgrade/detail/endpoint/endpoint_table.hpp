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

/// @brief Parameters of @ref endpoint_table::acquire.
struct slot_request
{
    std::string service;
    std::string version;   ///< as picked by @ref endpoint_table::pick_version
    int priority = 5;      ///< higher values are served first
    time_point_t deadline; ///< end of the wait for a slot
    std::set<std::string> excluded; ///< endpoints that failed the request
};

/// @brief Load of one endpoint as seen by this router.
struct endpoint_load
{
    std::uint32_t in_flight = 0; ///< requests of this router
    std::uint32_t reported = 0;  ///< requests of all routers, by last probe
    bool ejected = false;
};

/// @brief Tracks the requests in flight at each endpoint and queues requests
///        that wait for a slot.
///
/// Thread-safe; shared by all threads that serve callers. Waiting requests
/// are served by priority, then in order of arrival.
class endpoint_table
{
public:
    using snapshot_source_t =
        std::function<std::shared_ptr<const routing_snapshot>()>;

    /// @param[in] zone        this router's zone
    /// @param[in] queue_size  maximum number of waiting requests per service
    /// @param[in] snapshot    returns the latest control state
    /// @param[in] random      random source for the choice of endpoints; called
    ///                        with the internal mutex locked
    endpoint_table(std::string zone, std::size_t queue_size,
                   snapshot_source_t snapshot, random_source_t random);
    ~endpoint_table();

    /// @brief Picks the version for a new request by the service's split.
    ///
    /// Deterministic per route: of the first n requests of a route, at most
    /// n times the share go to the new version.
    std::string pick_version(const std::string& service,
                             const std::string& route);

    /// @brief Blocks until an endpoint of the service has a free slot.
    /// @return a lease; @ref errc::overloaded if the deadline passes, or at
    ///         once if the queue is full or the expected wait is beyond the
    ///         deadline; @ref errc::no_endpoint if no endpoint is a candidate
    result<slot_lease> acquire(const slot_request& request);

    /// @brief Whether a service has an endpoint that is neither draining nor
    ///        excluded.
    bool has_candidate(const std::string& service,
                       const std::set<std::string>& excluded) const;

    /// @brief Records the result of a request for outlier ejection.
    /// @param[in] endpoint  name of the endpoint
    /// @param[in] success   whether the endpoint answered without an error
    void record_result(const std::string& endpoint, bool success);

    /// @brief Stores the number of running requests that an endpoint reports.
    void set_reported_load(const std::string& endpoint, std::uint32_t running);

    /// @brief Loads of all endpoints that have been used or probed, by name.
    std::map<std::string, endpoint_load> loads() const;

    /// @brief Number of requests that wait for a slot, over all services.
    std::size_t waiting() const;

private:
    friend class slot_lease;

    struct state;
    struct waiter;
    using queue_t = std::map<std::pair<int, std::uint64_t>, waiter*>;

    void release(const std::string& endpoint, const std::string& service,
                 time_point_t acquired_at);
    std::unique_ptr<slot_lease> try_acquire(const slot_request& request);
    std::unique_ptr<slot_lease>
    try_acquire_version(const routing_snapshot& routing,
                        const slot_request& request,
                        const std::string& version);
    bool should_reject(const slot_request& request, const queue_t& queue) const;
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
    /// Fraction of a request due to the new version, by move and route.
    std::map<std::string, double> m_split_credit;
    /// Mean time that a request holds a slot, by service.
    std::map<std::string, double> m_service_ms;
    std::uint64_t m_arrivals = 0;
};

} // namespace rhubarbgrade
