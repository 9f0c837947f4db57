#pragma once

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <set>        // set
#include <vector>     // vector

#include <rhubarbgrade/detail/base/types.hpp>          // time_point_t
#include <rhubarbgrade/detail/fleet/node_settings.hpp> // node_settings

namespace rhubarbgrade
{

/// @brief An amount of what all connections of callers share.
struct caller_amount
{
    std::size_t bytes = 0;       ///< of buffers, requests and answers
    std::size_t descriptors = 0; ///< open at once

    bool operator==(const caller_amount&) const = default;
};

/// @brief What a connection of a caller is doing.
enum class caller_stage
{
    silent,    ///< has sent nothing yet
    idle,      ///< waits for its next request
    reading,   ///< a request has begun to arrive
    serving,   ///< a request is being served
    answering, ///< a part of an answer is being written
};

/// @brief What one connection of a caller takes from the @ref caller_budget.
struct caller_share
{
    caller_amount held;
    caller_stage stage = caller_stage::silent;
    time_point_t last_progress{}; ///< when the stage began or a byte came
    bool sends_ahead = false;     ///< sends a request before the last answer
    bool shed = false;            ///< has been told to give up
    /// Makes the connection give up what it holds; it does so soon, not at
    /// once. Called at most once.
    std::function<void()> on_shed;
};

/// @brief The part of a machine's memory and descriptors that connections of
///        callers get, with the connections to endpoints that they need.
caller_amount caller_limits_of(const node_settings& settings);

/// @brief Whether a connection may be closed in favour of others: its request
///        is incomplete, so it has not run, or its caller does not read the
///        answer.
bool may_shed(const caller_share& share, time_point_t now);

/// @brief Answer to a connection that asks for more.
enum class hold_result
{
    held,
    wait,   ///< others have been told to give up enough; ask again soon
    refused ///< the others can't give up enough
};

/// @brief What all connections of callers take together: never more than the
///        limits.
///
/// If there is no memory left, incomplete requests and answers that are not
/// read are given up, the largest first, and of equals the one without progress
/// for the longest time; smaller ones than the one that asks are kept. If there
/// are no descriptors left, connections that have sent nothing for a while are
/// closed first, then those without progress for the longest time. The last
/// quarter of both is for connections that hold little and don't send ahead, so
/// that other ones don't shut them out. Used by one thread.
class caller_budget
{
public:
    explicit caller_budget(const caller_amount& limits);

    /// @brief Changes what a connection takes; the first call registers it.
    ///
    /// What is less than before is always granted, and nothing more once the
    /// connection has been told to give up.
    hold_result hold(caller_share& share, const caller_amount& wanted,
                     time_point_t now);

    /// @brief Counts what a connection holds in any case, also beyond the
    ///        limits; others then find less room.
    void add(caller_share& share, const caller_amount& amount);

    /// @brief Takes back all that a connection has; does nothing for one that
    ///        is not registered.
    void remove(caller_share& share);

    const caller_amount& held() const
    {
        return m_held;
    }

    /// Connections that have been told to give up so far.
    std::uint64_t shed_count() const
    {
        return m_shed_count;
    }

private:
    bool free_bytes(std::size_t missing, const caller_share& claimant,
                    std::size_t wanted, time_point_t now);
    bool free_descriptors(std::size_t missing, const caller_share& claimant,
                          time_point_t now);
    std::vector<caller_share*> candidates(const caller_share& claimant,
                                          time_point_t now) const;
    void shed(caller_share& share);
    void set(caller_share& share, const caller_amount& amount);

    caller_amount m_limits;
    caller_amount m_held;
    caller_amount m_shed; ///< part of m_held that is about to be given up
    std::set<caller_share*> m_shares;
    std::uint64_t m_shed_count = 0;
};

} // namespace rhubarbgrade
