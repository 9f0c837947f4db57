#pragma once

#include <array>    // array
#include <cstddef>  // size_t
#include <optional> // optional

#include <rhubarbgrade/detail/base/types.hpp>       // milliseconds
#include <rhubarbgrade/detail/fleet/deployment.hpp> // call_kind

namespace rhubarbgrade
{

/// @brief The latest latencies of a route at this host.
class latency_window
{
public:
    void add(milliseconds latency);

    /// @brief Latency that a share of the requests did not exceed.
    /// @param[in] share  0 to 1
    /// @return empty while there are too few latencies
    std::optional<milliseconds> quantile(double share) const;

private:
    static constexpr std::size_t capacity = 64;

    std::array<milliseconds, capacity> m_latencies{};
    std::size_t m_count = 0; ///< up to the capacity
    std::size_t m_next = 0;  ///< is overwritten next
};

/// @brief The operators' limit of second attempts.
struct hedge_limit
{
    double share = 0; ///< for each request that may be repeated; 0 for none
};

/// @brief Second attempts that a route may make within the operators' limit.
struct hedge_allowance
{
    double hedges = 0;
};

/// @brief Counts a request, which adds a share of a hedge.
void count_request(hedge_allowance& allowance, const hedge_limit& limit);

/// @brief Takes a hedge off the allowance.
void count_hedge(hedge_allowance& allowance);

/// @brief What a host knows of hedges of a route.
struct route_hedging
{
    latency_window latencies;
    hedge_allowance allowance;
};

/// @brief Time after which an answer is late enough for a second attempt.
/// @return empty while that can't be told
std::optional<milliseconds> hedge_delay(const latency_window& latencies);

/// @brief Inputs for the decision whether to hedge a request.
struct hedge_context
{
    call_kind kind = call_kind::non_idempotent;
    bool answer_begun = false; ///< the caller has received part of the answer
    bool is_trial = false;     ///< of a quarantined request
    bool stopping = false;     ///< the host stops
    bool host_late = false;    ///< the host or its link is
    int sends = 1;             ///< attempts so far, with the one that runs
    int max_runs = 1;          ///< limit of the route
    milliseconds left{0};      ///< time left until the caller's deadline
    std::size_t waiting = 0;   ///< requests that wait for an endpoint
    double mean_load = 0;      ///< of the endpoints' slots; 0 if unknown
    hedge_allowance allowance; ///< of the route
};

/// @brief Decides whether a request may be sent to a second endpoint while its
///        first attempt runs. The shared retry limit comes on top.
bool may_hedge(const hedge_context& question);

} // namespace rhubarbgrade
