#include "witness_keeper.hpp"

#include <algorithm> // max
#include <cstdint>   // uint64_t
#include <string>    // string
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Use that a ceiling is ahead of, seconds. What a host that dies had
/// confirmed and not spent is lost, so this is short; several times the pause
/// between two reports of what is in use (0.25 s).
constexpr double ahead_s = 1;

/// Pause before an unanswered question is sent again: many times the way
/// between two hosts, and short beside the time that a request may wait.
constexpr milliseconds ask_again{40};

/// Without an answer for so long a witness is replaced; under the second of
/// use that ceilings are ahead.
constexpr milliseconds silence{600};

/// Age of the last beat (one each 0.5 s) up to which a process may be chosen.
constexpr milliseconds heard_lately{1300};

} // namespace

witness_keeper::witness_keeper(const asio::any_io_executor& executor,
                               process_id self, std::string zone,
                               witness_port port)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_port(std::move(port)),
      m_timer(executor)
{
}

void witness_keeper::heard(const process_id& peer)
{
    m_heard[peer] = time_point_t::clock::now();
}

std::optional<witness_message>
witness_keeper::take(const witness_message& message)
{
    if (message.confirmed)
    {
        if (message.owner != m_self)
            return std::nullopt;
        m_owing.erase(message.witness);
        if (take_confirmation(m_bond, message))
            m_port.raised();
        return std::nullopt;
    }
    // Asked of an earlier process of this host, whose memory is gone.
    if (message.witness != m_self || !remember(m_memory, message))
        return std::nullopt;
    auto answer = message;
    answer.confirmed = true;
    return answer;
}

void witness_keeper::propose(const wallet_states_t& states)
{
    for (const auto& [customer, state] : states)
    {
        const auto needed = state.used + state.reserved + state.waiting;
        const auto ahead = std::max(
            static_cast<token_count_t>(state.rate * ahead_s), state.largest);
        const auto known = m_bond.wanted.find(customer);
        const auto wanted =
            known == m_bond.wanted.end() ? token_count_t{0} : known->second;
        if (needed != 0 && needed + ahead / 2 > wanted)
            want_ceiling(m_bond, customer, needed + ahead);
    }
    if (ask_all())
        m_timer.cancel();
}

void witness_keeper::set_asked(std::vector<process_id> asked)
{
    if (asked == m_asked)
        return;
    m_asked = std::move(asked);
    std::erase_if(m_owing,
                  [this](const auto& item)
                  {
                      return std::find(m_asked.begin(), m_asked.end(),
                                       item.first) == m_asked.end();
                  });
    if (ask_all())
        m_timer.cancel();
}

process_id witness_keeper::choose(const escrow_book& book,
                                  const process_id& except, bool any_zone) const
{
    const auto now = time_point_t::clock::now();
    process_id best;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& [host, holding] : book.hosts)
    {
        const process_id id{host, holding.incarnation};
        const auto known = m_heard.find(id);
        const bool home = holding.zone == m_zone;
        if (host == m_self.host || id == except || (!home && !any_zone) ||
            known == m_heard.end() || now - known->second > heard_lately)
            continue;
        const std::pair rank{!home, hash64(m_self.host, hash64(host))};
        if (best.none() || rank < best_rank)
        {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

bool witness_keeper::silent(const process_id& witness) const
{
    const auto owing = m_owing.find(witness);
    return owing != m_owing.end() &&
           time_point_t::clock::now() - owing->second > silence;
}

bool witness_keeper::ask(const process_id& witness)
{
    auto missing = unconfirmed(m_bond, witness);
    if (missing.empty())
        return false;
    m_owing.try_emplace(witness, time_point_t::clock::now());
    m_port.send(witness.host, {m_self, witness, std::move(missing), false});
    return true;
}

bool witness_keeper::ask_all()
{
    bool any = false;
    for (const auto& each : m_asked)
        any = ask(each) || any;
    return any;
}

asio::awaitable<void> witness_keeper::run()
{
    bool open = false;
    for (;;)
    {
        m_timer.expires_after(open ? ask_again : silence);
        const auto [fault] =
            co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        // Cut short by a question that has just been sent: its time begins now.
        open = fault ? true : ask_all();
    }
}

} // namespace rhubarbgrade
