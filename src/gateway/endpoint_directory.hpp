#pragma once

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <functional>    // function
#include <map>           // map
#include <memory>        // shared_ptr
#include <span>          // span
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/system/error_code.hpp>    // error_code

#include <rhubarbgrade/detail/fleet/fleet_view.hpp>  // fleet_view_ptr_t
#include <rhubarbgrade/detail/placing/place.hpp>     // engine_queue
#include <rhubarbgrade/detail/routing/admission.hpp> // admission_state
#include <rhubarbgrade/detail/routing/choose.hpp>    // random_source_t
#include <rhubarbgrade/detail/routing/host_load.hpp> // host_load
#include <rhubarbgrade/detail/routing/reach.hpp>     // service_reach
#include <rhubarbgrade/detail/routing/relay.hpp>     // relay_host

#include "pool_endpoint.hpp" // endpoint_link, pool_endpoint

namespace rhubarbgrade::platform
{
struct response_head;
struct prompt_part;
} // namespace rhubarbgrade::platform

namespace rhubarbgrade
{

using endpoint_ptr_t = std::shared_ptr<pool_endpoint>;

/// @brief Criteria by which an endpoint is chosen for a request.
struct endpoint_criteria
{
    std::string_view service;
    std::span<const platform::prompt_part> parts; ///< of the prompt, in order
    token_count_t prompt_tokens = 0;
    std::span<const endpoint_ptr_t> tried; ///< not chosen again
    /// Uniform in [0, 1), drawn once for a request. Below the share of a
    /// version on trial, the request goes to that version.
    double version_draw = 0;
    bool repeatable = false;
    milliseconds objective = milliseconds::max(); ///< of the latency
};

/// @brief Result of opening a connection.
struct open_result
{
    endpoint_link_ptr_t link; ///< null if none could be established in time
    bool refused = false;     ///< nothing listens at the endpoint's address
};

/// @brief The endpoints of all services, with their health as this host sees it
///        and its idle connections to them. Used by the traffic thread only.
class endpoint_directory
{
public:
    /// @param[in] zone      this host's availability zone
    /// @param[in] on_limit  called with answers that bear on a request limit
    /// @param[in] on_reach  called when this host loses its path to a service,
    ///                      or has it again
    endpoint_directory(boost::asio::any_io_executor executor, std::string zone,
                       random_source_t random,
                       std::function<void(const limit_observation&)> on_limit,
                       std::function<void()> on_reach);

    /// @brief Applies a new view of the fleet. An endpoint that has restarted
    ///        or has another address loses its history and connections.
    void update(const fleet_view_ptr_t& view);

    /// @return an endpoint for the request, or null if none can take it now
    endpoint_ptr_t choose(const endpoint_criteria& criteria, time_point_t now);

    /// @brief Counts a request that is about to be sent to the endpoint against
    ///        this host's share of its request limit.
    static void count_request(pool_endpoint& endpoint, time_point_t now);

    /// @brief Time until this host may send the request, if all endpoints of
    ///        the versions that it may go to have used up their request limits
    ///        or are saturated. Zero if that can't be told.
    /// @return empty if it is worth waiting: another endpoint has room, or none
    ///         of these versions is listed now
    std::optional<milliseconds> capacity_wait(const endpoint_criteria& criteria,
                                              time_point_t now) const;

    /// @brief This host's requests at endpoints of evacuated zones.
    std::size_t evacuated_in_flight() const;

    /// @brief Mean load of the service's endpoints for each of their slots, by
    ///        their reports; 0 if none has come lately.
    double reported_load(std::string_view service, time_point_t now) const;

    /// @brief Whether any endpoint of the service is known.
    bool serves(std::string_view service) const;

    /// @brief Reuses an idle connection or opens a new one.
    /// @param[in] fresh_only  for requests that must not be sent twice: reuses
    ///                        only a connection that was in use a moment ago
    /// @return null if no connection could be established in time
    boost::asio::awaitable<endpoint_link_ptr_t> connect(endpoint_ptr_t endpoint,
                                                        bool fresh_only);

    /// @brief Opens a new connection, through another host if this one is cut
    ///        from the endpoint.
    boost::asio::awaitable<open_result>
    open_connection(endpoint_ptr_t endpoint);

    /// @brief Opens a new connection of this host's own.
    boost::asio::awaitable<open_result> open_direct(endpoint_ptr_t endpoint);

    /// @brief Called when an answer begins whose end is that of its connection.
    /// @return the monitor of the endpoint's process, to be held until the
    ///         answer has ended. It is kept for a moment for the next one.
    std::shared_ptr<process_monitor>
    monitor_answer(const endpoint_ptr_t& endpoint, time_point_t now);

    /// @brief Records that an endpoint, or its end, has ended a connection.
    /// @param[in] follows_bytes  as in @ref connection_end
    static connection_end record_end(pool_endpoint& endpoint,
                                     endpoint_link& link, bool follows_bytes);

    const boost::asio::any_io_executor& executor() const
    {
        return m_executor;
    }

    /// @return the listed endpoint with this hash of its process, or null
    endpoint_ptr_t find_process(std::uint64_t process) const;

    /// @brief Whether this host's own connections reach no endpoint of the
    ///        service.
    bool is_cut(std::string_view service) const;

    /// @brief Whether the host is cut from the service, and nothing comes over
    ///        the connections that it still has.
    bool is_silent(std::string_view service) const;

    /// @brief Whether requests can reach the service: directly, or through
    ///        another host.
    bool has_path(std::string_view service) const;

    /// @brief Whether no request can reach any service.
    bool isolated() const;

    /// @brief Whether the host's own connections reach any service.
    bool reaches_any() const;

    /// @brief Whether a failure to connect to the service may be this host's.
    bool may_be_cut(std::string_view service) const;

    /// @brief Records that bytes have come over a direct connection.
    void record_bytes(const pool_endpoint& endpoint, time_point_t now);

    /// @brief Takes in what the host measured of itself since the last call; to
    ///        be called a few times a second.
    /// @param[in] loop_delay  by which a timer of the event loop was late
    /// @param[in] link_mbps   bandwidth of the host's link, Mbit/s
    void record_host_sample(milliseconds loop_delay, double link_mbps,
                            time_point_t now);

    /// @brief Counts bytes of requests and answers against the host's link,
    ///        which carries each of them in once and out once.
    void count_bytes(std::size_t count)
    {
        m_bytes += count;
    }

    /// @brief Whether this host, or its link, is late: what seems to be late
    ///        elsewhere may be its own delay.
    bool is_late() const
    {
        return m_host_load.late;
    }

    /// @brief Finds out whether services still can be reached from which
    ///        nothing comes; to be called a few times a second.
    void check_silence(time_point_t now);

    /// @brief Returns a connection for reuse after a complete response.
    ///
    /// It is closed if the endpoint is no longer listed or has enough idle
    /// connections.
    void return_connection(pool_endpoint& endpoint, endpoint_link_ptr_t link,
                           time_point_t now);

    /// @brief Updates the endpoint's failure rate with the result of a request,
    ///        and ejects the endpoint after repeated failures.
    void record_result(pool_endpoint& endpoint, bool success, time_point_t now);

    /// @brief Records that a request is being sent.
    static void record_sent(pool_endpoint& endpoint, time_point_t now);

    /// @brief Records the first byte of an answer, or the end of an attempt
    ///        without one.
    /// @param[in] sent_at  as given to @ref record_sent
    static void record_first_byte(pool_endpoint& endpoint, time_point_t sent_at,
                                  time_point_t now);

    /// @brief Records the load that an endpoint has reported in a response, if
    ///        the response contains one.
    void record_load(pool_endpoint& endpoint,
                     const platform::response_head& head, time_point_t now);

    /// @brief Number of responses whose load could not be read.
    std::uint64_t unreadable_loads() const
    {
        return m_unreadable_loads;
    }

    /// @brief Reports the limits that an answer names, or that it no longer
    ///        names one.
    /// @param[in] sent_at  when the request was sent
    void record_limit(pool_endpoint& endpoint,
                      const platform::response_head& head, time_point_t sent_at,
                      time_point_t now) const;

    /// @brief Whether the endpoint is brittle and has turned requests away so
    ///        lately that this explains its end.
    static bool fell_for_room(const pool_endpoint& endpoint, time_point_t now);

    /// @brief Closes connections that have exceeded their idle time-out.
    void close_idle_connections(time_point_t now);

private:
    /// This host's path to one service.
    struct service_path
    {
        service_reach reach;
        time_point_t last_byte{};
        time_point_t checked_at{}; ///< last probe because of silence
        bool probing = false;
        /// Last answer whose end was that of its connection.
        time_point_t close_delimited_at{};
    };

    struct held_monitor
    {
        std::shared_ptr<process_monitor> monitor;
        time_point_t needed_at{};
    };

    /// A direct connection that is being opened.
    struct opening;

    /// Ends the wait for a connection. It may still open, and is then kept.
    void abandon(const std::shared_ptr<opening>& pending);
    void end_opening(opening& pending, const boost::system::error_code& fault);
    boost::asio::awaitable<open_result> open_relayed(endpoint_ptr_t endpoint);
    /// Begins to follow an endpoint that is no longer used while requests are
    /// in flight there.
    void add_departure(const endpoint_ptr_t& endpoint);
    /// Takes in what a new view says of endpoints that are no longer used.
    void follow_departures();
    std::shared_ptr<process_monitor>
    hold_monitor(const endpoint_ptr_t& endpoint, time_point_t now);
    void drop_monitors(time_point_t now);
    void record_open_result(const pool_endpoint& endpoint, bool opened);
    void on_cut(const std::string& service);
    void on_path_restored(const std::string& service);
    void start_probe(const std::string& service);
    /// Opens connections to the service's endpoints until one opens or there
    /// is no doubt any more.
    boost::asio::awaitable<void> probe_path(std::string service);
    endpoint_ptr_t choose_probe_target(const std::string& service) const;
    bool any_other_cut(std::string_view service) const;
    /// Relays that have not failed a moment ago.
    std::vector<relay_host> usable_relays(time_point_t now) const;
    bool has_engine(std::string_view service) const;
    /// What decides on an admission, except for the request's own versions and
    /// earlier attempts.
    admission_state condition_of(pool_endpoint& endpoint,
                                 const engine_queue& queue,
                                 const endpoint_criteria& criteria,
                                 time_point_t now) const;
    /// @return null if the service has no version on trial
    const trial_split* find_split(std::string_view service) const;
    endpoint_ptr_t choose_from(const std::vector<endpoint_ptr_t>& pool,
                               const endpoint_criteria& criteria,
                               const trial_split* split, bool to_trial_version,
                               time_point_t now) const;

    boost::asio::any_io_executor m_executor;
    std::string m_zone;
    random_source_t m_random;
    std::function<void(const limit_observation&)> m_on_limit;
    std::function<void()> m_on_reach;
    host_load m_host_load;
    // Since the last sample:
    milliseconds m_connect_time{0}; ///< slowest connection that opened
    std::uint64_t m_bytes = 0;      ///< of requests and answers
    time_point_t m_sampled_at{};
    std::map<std::string, service_path, std::less<>> m_paths;
    std::map<std::string, time_point_t> m_relay_failures; ///< by host
    std::uint64_t m_unreadable_loads = 0;
    fleet_view_ptr_t m_view;
    std::unordered_map<std::string, endpoint_ptr_t> m_by_id;
    std::vector<endpoint_ptr_t> m_departures;
    std::map<endpoint_ptr_t, held_monitor> m_monitors;
    std::map<std::string, std::vector<endpoint_ptr_t>, std::less<>>
        m_by_service;
};

} // namespace rhubarbgrade
