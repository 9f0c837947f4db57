#pragma once

#include <cstdint>  // uint64_t
#include <memory>   // enable_shared_from_this, shared_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <boost/asio/awaitable.hpp>    // awaitable
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <platform/caller_codec.hpp> // answer_head, call_head

#include "answer_writer.hpp"    // answer_writer
#include "caller_session.hpp"   // caller_request_t, caller_session
#include "endpoint_attempt.hpp" // attempt_report, endpoint_attempt
#include "own_answer.hpp"       // own_answer
#include "traffic_context.hpp"  // traffic_context

namespace rhubarbgrade
{

/// @brief One request of a caller, from its head to the last byte of its
///        answer, over as many attempts as it may take.
class caller_exchange : public std::enable_shared_from_this<caller_exchange>
{
public:
    caller_exchange(std::shared_ptr<caller_session> session,
                    caller_request_t request, traffic_context& context);

    /// @brief Answers the request.
    /// @return whether a whole answer was written
    boost::asio::awaitable<bool> run();

    /// @brief Ends all work for the request: its caller has left.
    void leave();

    /// @brief Whether the connection ends with this answer.
    bool closing() const
    {
        return m_closing;
    }

private:
    boost::asio::awaitable<bool> refuse(own_answer answer);
    boost::asio::awaitable<bool> admitted();
    boost::asio::awaitable<bool> serve();
    boost::asio::awaitable<endpoint_ptr_t> find_endpoint();
    platform::forward_head make_head(const pool_endpoint& endpoint) const;
    boost::asio::awaitable<attempt_report> attempt(endpoint_ptr_t endpoint);
    void note_attempt(pool_endpoint& endpoint, const attempt_report& report);
    boost::asio::awaitable<bool> finish(attempt_report report);
    std::optional<own_answer> check_request();
    bool may_repeat(const attempt_report& report);
    void start_deadline();
    std::uint64_t fingerprint() const;
    void settle();
    void note_sample(const pool_endpoint& endpoint,
                     const attempt_report& report);
    milliseconds retry_pause();

    std::shared_ptr<caller_session> m_session;
    caller_request_t m_request;
    traffic_context& m_context;
    fleet_view_ptr_t m_view; ///< the one under which the request came
    const route* m_route = nullptr;
    const payer* m_customer = nullptr;
    std::string m_service;
    platform::call_head m_head;
    time_point_t m_started;
    time_point_t m_deadline;
    boost::asio::steady_timer m_deadline_timer;
    answer_writer m_writer;
    std::shared_ptr<endpoint_attempt> m_attempt;
    std::vector<endpoint_ptr_t> m_tried;
    token_count_t m_bound = 0; ///< tokens reserved for the request
    bool m_may_have_run = false;
    bool m_left = false;
    bool m_expired = false;
    bool m_closing = false;
};

} // namespace rhubarbgrade
