#pragma once

#include <memory> // shared_ptr, unique_ptr
#include <string> // string
#include <vector> // vector

#include <rhubarbgrade/detail/base/error.hpp>         // result
#include <rhubarbgrade/detail/base/types.hpp>         // token_count_t
#include <rhubarbgrade/detail/config/settings.hpp>    // settings
#include <rhubarbgrade/detail/control/claim_call.hpp> // claim_call
#include <rhubarbgrade/detail/control/snapshot.hpp>   // routing_snapshot
#include <rhubarbgrade/detail/membership/leaving.hpp> // leaving_set_t

namespace spdlog
{
class logger;
}

namespace rhubarbgrade
{

struct answer_key;
struct doubtful_request;

/// @brief A request answered by a version of a service under a move.
struct move_sample
{
    std::string move;  ///< key of the move
    std::string route; ///< path that the caller used
    bool to = false;   ///< answered by the new version
    bool good = false;
    double latency_s = -1; ///< to the first byte, below 0 if none came
};

/// @brief The control side of a router, as other threads see it.
///
/// Owns the control thread, the connections to other routers and the threads
/// that talk to the platform. Its functions may be called from any thread;
/// those that return a @ref result block until the answer is there.
class control_plane
{
public:
    /// @brief Starts the control thread.
    /// @throw std::runtime_error if rpc_listen can't be bound
    control_plane(const settings& read, std::shared_ptr<spdlog::logger> log);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// @brief The port in use for other routers.
    int rpc_port() const;

    /// @brief The newest snapshot; never null.
    std::shared_ptr<const routing_snapshot> snapshot() const;

    /// @brief Reserves tokens of a customer for a request.
    result<void> reserve_tokens(const std::string& request,
                                const std::string& customer,
                                token_count_t tokens);

    /// @brief Must have succeeded before a reserved request is dispatched.
    result<void> assign_endpoint(const std::string& request,
                                 const std::string& endpoint);

    /// @brief Bills a request and frees the rest of its reservation.
    result<void> settle_request(const std::string& request,
                                token_count_t tokens);

    /// @brief Frees the reservation of a request that did not run.
    void release_request(const std::string& request);

    /// @brief The endpoint that a request was sent to by any router within
    ///        reach, or empty.
    std::string find_request(const std::string& request);

    /// @brief Makes an idempotency key that this router's zone can claim.
    std::string issue_key();

    /// @brief Claims an issued key.
    claim_answer claim(const claim_call& call);
    void answer(const ledger_id& owner, const answer_key& step);
    void drop_claim(const ledger_id& owner, const std::string& key);

    /// @brief Notes a sample for the evidence of a move.
    void note(const move_sample& sample);

    /// @brief Tells the zone that a request must not run again.
    void quarantine_request(const std::string& fingerprint);

    /// @brief Tells all hosts which endpoints say that they leave.
    void put_leaving_endpoints(leaving_set_t leaving);

    /// @brief Reservations taken over whose outcome the endpoints must tell.
    std::vector<doubtful_request> doubtful();
    void resolve(const doubtful_request& request, bool ran, token_count_t used);

    /// @brief Takes no new paid work from now on.
    void begin_leaving();

    /// @brief Settles everything and returns what is held, then stops.
    void leave();

    /// @brief This router's state as JSON text.
    std::string status_text();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
