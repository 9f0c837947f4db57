#pragma once

#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/asio/steady_timer.hpp>    // steady_timer

#include <rhubarbgrade/detail/escrow/escrow.hpp>  // escrow_book, wallet_state
#include <rhubarbgrade/detail/escrow/witness.hpp> // witness_bond

namespace rhubarbgrade
{

/// @brief What the keeper of witnesses is given by the rest of control.
struct witness_port
{
    std::function<void(const std::string&, const witness_message&)> send;
    std::function<void()> raised; ///< a ceiling has been confirmed
};

/// @brief Asks witnesses to confirm what this host may spend, and is one for
///        other hosts.
class witness_keeper
{
public:
    witness_keeper(const boost::asio::any_io_executor& executor,
                   process_id self, std::string zone, witness_port port);

    /// @brief A beat has come from a process.
    void heard(const process_id& peer);

    /// @brief Takes a message of either role.
    /// @return the answer, if it asks for one
    std::optional<witness_message> take(const witness_message& message);

    /// @brief Raises the wanted ceilings to what is in use and will soon be.
    void propose(const wallet_states_t& states);

    /// @brief Sets which processes are asked to confirm.
    void set_asked(std::vector<process_id> asked);

    /// @brief A process that may be this host's witness: heard lately, and by
    ///        the book still the same one. One of the own zone, if there is
    ///        one: cuts between zones and from the store don't part the two.
    /// @param[in] any_zone  whether another zone will do
    process_id choose(const escrow_book& book, const process_id& except,
                      bool any_zone) const;

    /// @brief Whether a process owes a confirmation for too long.
    bool silent(const process_id& witness) const;

    const witness_bond& bond() const
    {
        return m_bond;
    }

    witness_memory& memory()
    {
        return m_memory;
    }

    /// @brief Asks again for as long as something isn't confirmed.
    boost::asio::awaitable<void> run();

private:
    bool ask(const process_id& witness);
    bool ask_all();

    process_id m_self;
    std::string m_zone;
    witness_port m_port;
    boost::asio::steady_timer m_timer;
    witness_bond m_bond;
    witness_memory m_memory;
    std::vector<process_id> m_asked;
    std::map<process_id, time_point_t> m_owing; ///< since when unanswered
    std::map<process_id, time_point_t> m_heard;
};

} // namespace rhubarbgrade
