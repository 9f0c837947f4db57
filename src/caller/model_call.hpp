#pragma once

#include <memory>   // enable_shared_from_this, shared_ptr
#include <optional> // optional
#include <set>      // set
#include <string>   // string

#include <rhubarbgrade/detail/base/error.hpp>             // error, result
#include <rhubarbgrade/detail/base/types.hpp>             // time_point_t
#include <rhubarbgrade/detail/caller/activity.hpp>        // activity
#include <rhubarbgrade/detail/caller/model_job.hpp>       // model_job
#include <rhubarbgrade/detail/caller/problem.hpp>         // run_state
#include <rhubarbgrade/detail/caller/traffic.hpp>         // traffic
#include <rhubarbgrade/detail/endpoint/engine_stream.hpp> // engine_stream
#include <rhubarbgrade/detail/endpoint/slot_lease.hpp>    // slot_lease

namespace httplib
{
class DataSink;
struct Response;
} // namespace httplib

namespace rhubarbgrade
{

/// @brief One model request on its way: reservation, attempts, answer, bill.
///
/// Keeps itself alive until its answer has been sent and its cost settled.
class model_call : public std::enable_shared_from_this<model_call>
{
public:
    model_call(traffic& shared, model_job job);

    /// @brief Runs the request and fills the answer in.
    void serve(httplib::Response& response);

private:
    struct refusal
    {
        error what;
        run_state ran = run_state::no;
    };

    std::optional<refusal> attach(const std::string& endpoint);
    std::optional<refusal> run();
    std::optional<refusal> attempt();
    std::optional<refusal> start_on(const std::string& endpoint,
                                    const std::string& address);
    result<void> reserve();
    result<void> assign(const std::string& endpoint);
    bool retry_after(const stream_outcome& outcome);
    refusal after_failure(const stream_outcome& failed);
    bool finds_dead(const engine_call& call) const;
    refusal give_up(const stream_outcome& outcome);
    bool note_crash_of(const stream_outcome& outcome);
    void answer_stream(httplib::Response& response);
    void answer_whole(httplib::Response& response);
    bool send_next(httplib::DataSink& sink);
    bool send_end(httplib::DataSink& sink);
    void settle(const stream_outcome& outcome);
    void note_served(const stream_outcome& outcome);
    void note_sample(bool good);
    void leave_early();
    engine_call make_call(const std::string& endpoint,
                          const std::string& address) const;

    traffic& m_shared;
    activity m_activity;
    model_job m_job;
    std::string m_version;
    std::set<std::string> m_excluded;
    std::optional<slot_lease> m_lease;
    std::shared_ptr<engine_stream> m_stream;
    std::string m_endpoint;
    time_point_t m_begin;
    time_point_t m_deadline;
    time_point_t m_first{};
    int m_attempts = 0;
    run_state m_ran = run_state::no; ///< what attempts before this one leave
    bool m_billed = true;            ///< another router bills if not
    bool m_settled = false;
    std::uint64_t m_sent_bytes = 0;
    std::string m_sent_digest;
    std::string m_deferred_blame; ///< move sample kept back after a crash
};

} // namespace rhubarbgrade
