#pragma once

#include <memory>   // enable_shared_from_this, shared_ptr
#include <optional> // optional
#include <set>      // set
#include <string>   // string

#include <rhubarbgrade/detail/base/error.hpp>             // error, result
#include <rhubarbgrade/detail/base/types.hpp>             // time_point_t
#include <rhubarbgrade/detail/caller/activity.hpp>        // in_flight_guard
#include <rhubarbgrade/detail/caller/model_job.hpp>       // model_job
#include <rhubarbgrade/detail/caller/problem.hpp>         // run_state
#include <rhubarbgrade/detail/caller/traffic.hpp>         // serving_context
#include <rhubarbgrade/detail/endpoint/engine_stream.hpp> // engine_stream
#include <rhubarbgrade/detail/endpoint/slot_lease.hpp>    // slot_lease

namespace httplib
{
class DataSink;
struct Response;
} // namespace httplib

namespace rhubarbgrade
{

/// @brief Handles one model request: reserves tokens, sends the request to an
///        endpoint, with retries, writes the response and settles the tokens.
///
/// The object keeps itself alive until the response has been sent and the
/// tokens are settled.
class model_call : public std::enable_shared_from_this<model_call>
{
public:
    model_call(serving_context& context, model_job job);

    /// @brief Runs the request and writes the response.
    void serve(httplib::Response& response);

private:
    struct refusal
    {
        error cause;
        run_state ran = run_state::no;
    };

    /// Joins the run of an earlier request with the same idempotency key.
    std::optional<refusal> attach(const std::string& endpoint);
    std::optional<refusal> run();
    std::optional<refusal> attempt();
    std::optional<refusal> start_on(const std::string& endpoint,
                                    const std::string& address);
    result<void> reserve();
    result<void> assign(const std::string& endpoint);
    bool prepare_retry(const stream_outcome& outcome);
    refusal handle_failure(const stream_outcome& failed);
    bool detects_dead_endpoint(const engine_call& call) const;
    refusal give_up(const stream_outcome& outcome);
    bool record_failed_attempt(const stream_outcome& outcome);
    void write_stream_response(httplib::Response& response);
    void write_whole_response(httplib::Response& response);
    bool send_events(httplib::DataSink& sink);
    bool send_final_event(httplib::DataSink& sink);
    void settle(const stream_outcome& outcome);
    void record_served(const stream_outcome& outcome);
    void record_move_sample(bool success);
    /// Called at the end of each stream response; the caller has disconnected
    /// if the tokens are not settled by then.
    void handle_disconnect();
    engine_call make_call(const std::string& endpoint,
                          const std::string& address) const;

    serving_context& m_context;
    in_flight_guard m_in_flight_guard;
    model_job m_job;
    std::string m_version;
    std::set<std::string> m_excluded;
    std::optional<slot_lease> m_lease;
    std::shared_ptr<engine_stream> m_stream;
    std::string m_endpoint;
    time_point_t m_started_at;
    time_point_t m_deadline;
    time_point_t m_first_event_at{};
    int m_attempts = 0;
    /// Whether one of the earlier attempts may have executed the request.
    run_state m_earlier_run_state = run_state::no;
    bool m_owns_billing = true; ///< false after @ref attach
    bool m_settled = false;
    std::uint64_t m_sent_bytes = 0;
    std::string m_sent_digest;
    /// Version of an endpoint that crashed. The crash is reported as a failed
    /// sample of a move only once the request has succeeded elsewhere.
    std::string m_crashed_version;
};

} // namespace rhubarbgrade
