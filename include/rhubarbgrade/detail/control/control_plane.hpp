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
struct in_doubt_request;

/// @brief Outcome of one request to a service whose traffic is being moved
///        from one version to another.
struct move_sample
{
    std::string move;         ///< key of the move
    std::string route;        ///< path that the caller used
    bool new_version = false; ///< which side of the move answered
    bool good = false;        ///< whether the answer counts as a success
    double latency_s = -1;    ///< to the first byte, below 0 if none came
};

/// @brief Thread-safe interface to the control thread of a router.
///
/// Owns the control thread, the connections to other routers and the threads
/// that talk to the platform. All functions may be called from any thread
/// except the control thread. Most run on the control thread and block until
/// the result is available; @ref rpc_port, @ref snapshot and @ref note return
/// without waiting for it.
class control_plane
{
public:
    /// @brief Starts the control thread and the platform threads.
    /// @throw std::runtime_error if rpc_listen can't be bound
    control_plane(const settings& options, std::shared_ptr<spdlog::logger> log);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// @brief Bound port for other routers.
    int rpc_port() const;

    /// @brief The latest published control state; never null.
    std::shared_ptr<const routing_snapshot> snapshot() const;

    /// @brief Reserves tokens of a customer for a request, drawing from the
    ///        platform or other hosts if this host holds too few.
    result<void> reserve_tokens(const std::string& request,
                                const std::string& customer,
                                token_count_t tokens);

    /// @brief Records which endpoint will run a reserved request; the request
    ///        may be dispatched only after this has succeeded.
    result<void> assign_endpoint(const std::string& request,
                                 const std::string& endpoint);

    /// @brief Bills a request for @a tokens and frees the rest of its
    ///        reservation.
    result<void> settle_request(const std::string& request,
                                token_count_t tokens);

    /// @brief Frees the reservation of a request that did not run.
    void release_request(const std::string& request);

    /// @brief Finds the endpoint that this or any reachable router has sent a
    ///        request to.
    /// @return the endpoint, or empty if none of them knows the request
    std::string find_request(const std::string& request);

    /// @brief Generates an idempotency key owned by this router's ledger.
    /// @return the key, or empty while no ledger is registered
    std::string issue_key();

    /// @brief Claims an issued key at its owner, this or another router.
    claim_answer claim(const claim_call& call);

    /// @brief Stores the answer to a claimed key at the owner of the key.
    void answer(const ledger_id& owner, const answer_key& step);

    /// @brief Frees a claimed key whose request was not dispatched.
    void drop_claim(const ledger_id& owner, const std::string& key);

    /// @brief Adds a sample to the evidence on its move at the next heartbeat.
    void note(const move_sample& sample);

    /// @brief Quarantines a request and announces this to the live hosts of
    ///        the zone: they will not dispatch it again.
    void quarantine_request(const std::string& fingerprint);

    /// @brief Publishes the endpoints that reported to this router that they
    ///        are draining; other hosts learn it by heartbeat.
    void publish_leaving_endpoints(leaving_set_t leaving);

    /// @brief Requests of closed ledgers adopted by this router whose outcome
    ///        must be queried from their endpoints.
    std::vector<in_doubt_request> in_doubt_requests();

    /// @brief Settles an in-doubt request that ran, or releases one that did
    ///        not.
    /// @param[in] used  tokens; at most the reserved tokens are billed
    void resolve(const in_doubt_request& request, bool ran, token_count_t used);

    /// @brief Marks this router as leaving: snapshots are no longer ready and
    ///        heartbeats announce it.
    void begin_leaving();

    /// @brief Stops the platform worker, stores and settles all bills, returns
    ///        unused tokens and removes the ledger from the platform.
    ///
    /// Blocks; gives up after a limited number of rounds, or at once if the
    /// platform is unreachable.
    void leave();

    /// @brief State of this router as JSON text, for operators.
    std::string status_text();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rhubarbgrade
