#pragma once

#include <cstdint>     // uint64_t
#include <memory>      // enable_shared_from_this, shared_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <platform/caller_codec.hpp> // response_head, call_head
#include <rhubarbgrade/detail/escrow/token_charge.hpp>    // token_limits
#include <rhubarbgrade/detail/routing/crash_evidence.hpp> // crash_suspects_t

#include "answer_writer.hpp"    // response_writer
#include "caller_session.hpp"   // caller_request_t, caller_session
#include "endpoint_attempt.hpp" // attempt_report, endpoint_attempt
#include "own_answer.hpp"       // local_response
#include "traffic_context.hpp"  // traffic_context

namespace rhubarbgrade
{

/// @brief One request of a caller and its response.
///
/// Checks the request, reserves tokens of the customer's prepaid budget, sends
/// the request to endpoints until one responds or no retry is allowed, and
/// writes the response to the caller. Runs on the traffic thread.
class caller_exchange : public std::enable_shared_from_this<caller_exchange>
{
public:
    caller_exchange(std::shared_ptr<caller_session> session,
                    caller_request_t request, traffic_context& context);

    /// @brief Processes the request until its response has been written.
    /// @return whether a complete response was written; if not, the caller's
    ///         connection must be closed
    boost::asio::awaitable<bool> run();

    /// @brief Gives the request up when the host's planned stop ends.
    void limit_deadline();

    /// @brief Logs that the request has not been answered whole.
    void log_unanswered(std::string_view cause) const;

    /// @brief Cancels the running attempt; called when the caller disconnects.
    void handle_disconnect();

    /// @brief Whether the response has told the caller that the connection ends
    ///        after it.
    bool ends_connection() const
    {
        return m_writer.ends_connection();
    }

private:
    boost::asio::awaitable<bool> refuse(local_response response);
    /// Returns false if the request has been refused or the caller
    /// disconnected.
    boost::asio::awaitable<bool> reserve_tokens();
    boost::asio::awaitable<bool> serve();
    boost::asio::awaitable<endpoint_ptr_t> wait_for_endpoint();
    platform::forward_head
    make_forward_head(const pool_endpoint& endpoint) const;
    /// Events that the request's token limit allows; empty if it has none.
    std::optional<std::uint64_t> max_events() const;
    /// One attempt of the request. Two run at once if the request is hedged.
    struct running_attempt
    {
        endpoint_ptr_t endpoint;
        std::shared_ptr<endpoint_attempt> exchange;
        bool ended = false;
        attempt_report report; ///< once it has ended
        bool outrun = false;   ///< cancelled, as another one has answered
    };
    using running_attempt_ptr_t = std::shared_ptr<running_attempt>;

    endpoint_criteria make_criteria() const;
    /// Sends the request to an endpoint and, if it is hedged, to a second one.
    /// @return the attempt that decides
    boost::asio::awaitable<running_attempt_ptr_t>
    attempt(endpoint_ptr_t endpoint);
    running_attempt_ptr_t start_attempt(endpoint_ptr_t endpoint);
    boost::asio::awaitable<void> run_attempt(running_attempt_ptr_t attempt);
    void cancel_attempts();
    /// Cancels all other attempts.
    void outrun_others(const running_attempt& winner);
    /// Runs a first attempt, and a second one if the answer is late.
    boost::asio::awaitable<running_attempt_ptr_t>
    race(running_attempt_ptr_t first, milliseconds delay);
    /// The attempt that ends a race, if one does; records failures of others.
    running_attempt_ptr_t
    decide_race(std::vector<running_attempt_ptr_t>& racers);
    /// @return null if there is no second attempt
    running_attempt_ptr_t start_hedge();
    /// Whether requests of the route are hedged at all.
    bool may_be_hedged() const;
    /// Time after which the request may be hedged, if that can be told.
    std::optional<milliseconds> time_to_hedge() const;
    /// Records the latency of a first attempt, or a lower bound of it.
    /// @param[in] report  of the attempt that has answered
    void record_latency(double latency_s, const attempt_report& report);
    void record_attempt(const endpoint_ptr_t& endpoint,
                        const attempt_report& report);
    boost::asio::awaitable<bool> finish(attempt_report report);
    /// Determines the route, customer, service and deadline of the request.
    /// Returns the response if it must be refused.
    std::optional<local_response> check_request();
    bool may_repeat(const attempt_report& report);
    /// Whether the host stops before the request has ended for certain.
    bool too_late() const;
    local_response stop_response();
    local_response capacity_response(milliseconds wait);
    void start_deadline_timer();
    /// The prompt parts that the request shares with others, and the request as
    /// a whole, identified by a hash of key, target and body.
    crash_suspects_t suspects() const;
    /// Whether the request must not be run, unless it is the trial of this
    /// host.
    bool is_quarantined();
    /// Whether it has a part that is quarantined now.
    bool has_quarantined_part() const;
    void record_crash_evidence(const endpoint_ptr_t& endpoint,
                               const attempt_report& report);
    /// Counts and logs a request that ends without a whole answer.
    void record_unanswered();
    /// Releases the reservation; charges the prompt and what was written, see
    /// @ref tokens_charged.
    void settle();
    /// Whether a prepaid budget pays for the request.
    bool has_budget() const;
    /// What the request may use; of an event, all if its service has no engine
    /// configured.
    token_limits limits_of_tokens() const;
    bool runs_on_engine() const;
    /// Refuses a request that could use any number of tokens.
    local_response unbounded_response();
    void record_sample(const pool_endpoint& endpoint,
                       const attempt_report& report);
    milliseconds random_retry_after();

    std::shared_ptr<caller_session> m_session;
    caller_request_t m_request;
    traffic_context& m_context;
    fleet_view_ptr_t m_view; ///< current when the request arrived
    const route* m_route = nullptr;
    const payer* m_customer = nullptr;
    std::string m_service;
    platform::call_head m_head;
    time_point_t m_started;
    time_point_t m_deadline;
    time_point_t m_latest_end; ///< m_deadline without a planned stop
    boost::asio::steady_timer m_deadline_timer;
    response_writer m_writer;
    std::vector<running_attempt_ptr_t> m_attempts; ///< running
    boost::asio::steady_timer m_race_timer; ///< of the hedge; wakes the race
    std::vector<endpoint_ptr_t> m_tried;
    double m_version_draw; ///< see endpoint_criteria
    /// Set if all endpoints have used up their request limits or are saturated.
    std::optional<milliseconds> m_capacity_wait;
    token_count_t m_reserved_tokens = 0; ///< 0 if nothing is reserved
    bool m_may_have_run = false;
    bool m_too_late = false; ///< could outlast the host, which stops
    bool m_no_path =
        false; ///< neither this host nor a relay reaches the service
    bool m_is_trial = false; ///< runs in spite of a quarantine
    bool m_disconnected = false;
    bool m_deadline_passed = false;
    bool m_endpoint_failed = false; ///< in the middle of its answer
};

} // namespace rhubarbgrade
