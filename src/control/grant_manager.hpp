#pragma once

#include <cstdint>    // int64_t, uint64_t
#include <functional> // function
#include <map>        // map
#include <string>     // string
#include <vector>     // vector

#include <kj/async-io.h> // Timer
#include <kj/async.h>    // Promise, TaskSet

#include <rhubarbgrade/detail/base/error.hpp>  // result
#include <rhubarbgrade/detail/base/types.hpp>  // token_count_t
#include <rhubarbgrade/detail/budget/draw.hpp> // demand_rate, draw_policy

#include "ledger_owner.hpp" // ledger_owner

namespace rhubarbgrade
{

class peer_calls;

/// @brief The hosts that may be asked for tokens.
struct token_peers
{
    std::vector<std::string> zone;   ///< live, of the own zone
    std::vector<std::string> remote; ///< of other zones, answering lately
};

/// @brief What grant_manager needs from the rest of the router.
struct grant_hooks
{
    std::function<token_peers()> peers;
    /// Asks the platform worker for a round of draws at once.
    std::function<void()> wake_worker;
};

/// @brief Holds enough tokens of each customer for the requests to come.
///
/// Runs on the control thread only. Draws and returns are decided here and
/// written by the platform worker.
class grant_manager : private kj::TaskSet::ErrorHandler
{
public:
    grant_manager(const draw_policy& policy, ledger_owner& owner,
                  peer_calls& peers, kj::Timer& timer, grant_hooks hooks);

    /// @brief Reserves tokens for a request, gathering them if need be.
    kj::Promise<result<void>> reserve_tokens(const std::string& request,
                                             const std::string& customer,
                                             token_count_t tokens);

    /// @brief Notes what a request used.
    void note_use(const std::string& customer, token_count_t tokens);

    /// @brief Gives tokens to another host of the zone.
    /// @param[in] asker   the asking ledger
    /// @param[in] number  the question's number; a repeat gets the same answer
    kj::Promise<token_count_t> give(const std::string& customer,
                                    token_count_t tokens,
                                    const ledger_id& asker,
                                    std::uint64_t number);

    /// @brief Returns tokens to the platform for a host of another zone.
    /// @return kept once the platform has them
    kj::Promise<token_count_t> hand_back(const std::string& customer,
                                         token_count_t tokens);

    /// @brief Takes all free tokens out to return them: this host leaves.
    void return_all();

    /// @brief Customers that a draw may be due for, by name.
    std::map<std::string, draw_state> draw_states(std::size_t holders);

    /// @brief Tokens that were taken out to be returned; handed over once.
    std::map<std::string, token_count_t> take_returns();

    /// @brief Adds drawn tokens to the ledger.
    void credit_drawn(const std::map<std::string, std::int64_t>& drawn);

    /// @brief Notes a customer's free balance as just read.
    void note_free(const std::string& customer, token_count_t free);

    /// @brief Takes note of the customers in force: balances are read again,
    ///        and a little is drawn ahead for each while they are few.
    void note_customers(const std::vector<std::string>& customers);

    /// @brief Ends a round of the platform worker.
    void finish_round(bool reachable);

private:
    using waiters_t = std::vector<kj::Own<kj::PromiseFulfiller<void>>>;

    struct line
    {
        demand_rate demand;
        token_count_t needed = 0; ///< by all requests that wait
        token_count_t free = 0;
        bool free_known = false;
        time_point_t exhausted_until{};
    };

    struct given
    {
        std::uint64_t number = 0;
        token_count_t tokens = 0;
    };

    void taskFailed(kj::Exception&& reason) override;
    bool try_reserve(const std::string& request, const std::string& customer,
                     token_count_t tokens);
    void fill_up_shared(const std::string& customer, token_count_t tokens);
    bool covered(const std::string& customer, token_count_t tokens) const;
    kj::Promise<result<void>> reserve_after_search(const std::string& request,
                                                   const std::string& customer,
                                                   token_count_t tokens,
                                                   int searches);
    kj::Promise<void> gather(const std::string& customer);
    kj::Promise<void> search(const std::string& customer);
    void finish_search(const std::string& customer);
    kj::Promise<void> next_round();
    kj::Promise<void> ask_zone(const std::string& customer);
    kj::Promise<void> ask_remote(const std::string& customer);
    kj::Promise<token_count_t> take_out(const std::string& customer,
                                        token_count_t wanted);
    draw_state state_of(const std::string& customer) const;
    error shortage(const std::string& customer) const;
    void set_solo_aside(const std::string& customer);

    draw_policy m_policy;
    ledger_owner& m_owner;
    peer_calls& m_peers;
    kj::Timer& m_timer;
    grant_hooks m_hooks;
    std::map<std::string, line> m_lines;
    std::map<std::string, token_count_t> m_returns;
    /// Requests that wait for a search, by customer; a search is under way for
    /// each customer in the map.
    std::map<std::string, waiters_t> m_searches;
    std::map<std::string, given> m_given; ///< by customer and asker
    waiters_t m_round_waiters;
    waiters_t m_next_waiters;
    std::uint64_t m_asked = 0;
    bool m_reachable = false;
    kj::TaskSet m_tasks;
};

} // namespace rhubarbgrade
