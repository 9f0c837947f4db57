#pragma once

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <random>     // minstd_rand
#include <span>       // span
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable

#include <rhubarbgrade/detail/membership/reader_choice.hpp> // reader_candidate

#include "../store/watch_gate.hpp" // watch_gate

namespace rhubarbgrade
{

class store_client;
struct waiting_watch;

/// @brief Decides whether this host reads the store for others, and finds out
///        whether the store answers it. Used on the control thread only.
///
/// Watches wait for long, so a path that is broken meanwhile is found by a
/// cheap call twice a second: after a failed call, the first one that succeeds
/// ends the watches that wait, and they start again. A host whose state is old
/// while others fail makes that call, too, before it watches.
///
/// The call asks for the changes that one of the watches waits for, each in
/// turn. If there are some, the response to the watch was lost, or is on its
/// way; either way they are applied at once, and the watch goes on behind them.
/// It may be answered from an old copy of the store, which tells of the time up
/// to which the copy is complete only. A watch that hasn't been shown to be
/// complete for a while is checked by a call that allows no old data.
class store_reader
{
public:
    /// @param[in] host      name of this host
    /// @param[in] policy    with the bounds that the host has to keep
    /// @param[in] changed   called when other hosts should hear of this one:
    /// its
    ///                      state is the store's again, or it has begun or
    ///                      ceased to read, or the store to answer it
    /// @param[in] recorded  called with the outcome of each call
    store_reader(boost::asio::any_io_executor executor, store_client& store,
                 std::string host, const reader_policy& policy,
                 std::function<void()> changed,
                 std::function<void(bool)> recorded);

    watch_gate& gate()
    {
        return m_gate;
    }

    /// @brief Whether this host reads the store itself.
    bool reads() const
    {
        return m_gate.open();
    }

    /// @brief Whether it reads for the hosts of its zone, too.
    bool chosen() const
    {
        return m_chosen_host == m_host;
    }

    /// @brief The host that is to read for the zone; may be empty.
    const std::string& chosen_host() const
    {
        return m_chosen_host;
    }

    /// @brief Whether the other hosts of the zone rely on what this one reads.
    bool speaks() const
    {
        return chosen() || (reads() && m_rank <= m_policy.deputies);
    }

    /// @brief Age of the state from which on this host reads by itself.
    milliseconds max_age() const
    {
        return max_state_age(m_rank, m_policy);
    }

    /// @brief Whether the store doesn't answer this host, as far as it knows.
    bool failing() const
    {
        return m_failing;
    }

    /// @brief Whether this host reads, and its last call was answered.
    bool answered() const
    {
        return reads() && m_answered;
    }

    /// @brief Whether the watches have stood since the last sign of life; after
    ///        a failed call they may hang or be refused.
    bool watches_stand() const
    {
        return !m_suspect;
    }

    /// @brief All changes of the watched kinds that the store had accepted
    ///        before are known here, whether or not responses to the watches
    ///        were lost; empty if no response has shown that yet.
    std::optional<time_point_t> complete_until() const;

    /// @brief Number of checks of watches so far that allowed no old data.
    std::uint64_t present_checks() const
    {
        return m_present_checks;
    }

    /// @brief Records the end of a call to the store that asks for the present
    ///        state.
    void record_answer(bool answered);

    /// @brief Decides anew how this host uses the store.
    /// @param[in] zone          live hosts of the zone, this one included
    /// @param[in] knows_state   whether it has a configuration and endpoints
    /// @param[in] confirmed_at  when its state was the store's, at least
    void decide(std::span<const reader_candidate> zone, bool knows_state,
                time_point_t confirmed_at, time_point_t now);

    /// @brief Asks the store for a sign of life while this host reads it, tries
    ///        to, or has an old state; never returns.
    boost::asio::awaitable<void> probe();

private:
    using waiting_watch_ptr_t = std::shared_ptr<waiting_watch>;
    struct running_checks;

    /// Checks the watches that aren't complete up to the time needed; makes
    /// one cheap call if all are.
    /// @return whether the store answered
    boost::asio::awaitable<bool> call_store();
    /// Checks watches side by side.
    /// @param[in] present_calls  the first ones, which allow no old data
    /// @param[in] needed         time up to which they have to be complete
    boost::asio::awaitable<bool>
    check_watches(const std::vector<waiting_watch_ptr_t>& watches,
                  std::size_t present_calls, time_point_t needed);
    boost::asio::awaitable<void>
    run_check(waiting_watch_ptr_t watch, bool old_data_allowed,
              time_point_t needed, std::shared_ptr<running_checks> checks);
    /// Asks for the changes that a watch waits for, and hands them over.
    boost::asio::awaitable<bool> check_watch(const waiting_watch_ptr_t& watch,
                                             bool old_data_allowed,
                                             time_point_t needed);
    milliseconds next_probe();

    store_client& m_store;
    std::string m_host;
    reader_policy m_policy;
    std::function<void()> m_changed;
    std::function<void(bool)> m_recorded;
    watch_gate m_gate;
    std::minstd_rand m_random{std::random_device{}()};
    std::uint64_t m_present_checks = 0;
    int m_failures = 0; ///< consecutive
    std::string m_chosen_host;
    std::size_t m_rank = 0;  ///< among the hosts of the zone
    bool m_asks = false;     ///< its state is old, and it doesn't read yet
    bool m_answered = false; ///< the last call since it began to ask or read
    bool m_failing = false;  ///< told to the other hosts
    bool m_suspect = false;  ///< a call has failed since the watches began
};

} // namespace rhubarbgrade
