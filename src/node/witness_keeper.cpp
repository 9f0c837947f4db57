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

/// Usage that a requested ceiling covers in advance, in seconds. Tokens that a
/// dead host had confirmed and not spent are lost, so this is short; it is
/// several times the interval of the usage reports (0.25 s).
constexpr double ceiling_lead_s = 1;

/// Delay before an unanswered request is sent again: many times the round-trip
/// time between hosts, and short compared to the time that a caller's request
/// may wait for tokens.
constexpr milliseconds request_retry_delay{40};

/// Time without an answer after which a witness is replaced. It is shorter than
/// the usage that ceilings cover in advance.
constexpr milliseconds silence_timeout{600};

/// Age of the last heartbeat (one every 0.5 s) up to which a process may be
/// chosen as witness.
constexpr milliseconds max_heartbeat_age{1300};

} // namespace

witness_keeper::witness_keeper(const asio::any_io_executor& executor,
                               process_id self, std::string zone,
                               witness_callbacks callbacks)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_callbacks(std::move(callbacks)),
      m_timer(executor)
{
}

void witness_keeper::record_heartbeat(const process_id& peer)
{
    m_last_heartbeats[peer] = time_point_t::clock::now();
}

std::optional<witness_message>
witness_keeper::handle_message(const witness_message& message)
{
    if (message.confirmed)
    {
        if (message.owner != m_self)
            return std::nullopt;
        m_unanswered_since.erase(message.witness);
        if (apply_confirmation(m_ceilings, message))
            m_callbacks.ceiling_confirmed();
        return std::nullopt;
    }
    // Requests to an earlier incarnation of this host are ignored: what it
    // confirmed was lost with it. So are requests of closed owners.
    if (message.witness != m_self ||
        !record_ceilings(m_confirmed_for_others, message))
        return std::nullopt;
    auto answer = message;
    answer.confirmed = true;
    return answer;
}

void witness_keeper::raise_ceilings(const wallet_states_t& states)
{
    for (const auto& [customer, state] : states)
    {
        const auto in_use = state.used + state.reserved + state.waiting;
        const auto lead =
            std::max(static_cast<token_count_t>(state.rate * ceiling_lead_s),
                     state.largest);
        const auto known = m_ceilings.wanted.find(customer);
        const auto current =
            known == m_ceilings.wanted.end() ? token_count_t{0} : known->second;
        // A new ceiling is requested when half of the lead is used up.
        if (in_use != 0 && in_use + lead / 2 > current)
            request_ceiling(m_ceilings, customer, in_use + lead);
    }
    if (request_confirmations())
        m_timer.cancel();
}

void witness_keeper::set_witnesses(std::vector<process_id> witnesses)
{
    if (witnesses == m_witnesses)
        return;
    m_witnesses = std::move(witnesses);
    std::erase_if(m_unanswered_since,
                  [this](const auto& item)
                  {
                      return std::find(m_witnesses.begin(), m_witnesses.end(),
                                       item.first) == m_witnesses.end();
                  });
    if (request_confirmations())
        m_timer.cancel();
}

process_id witness_keeper::choose_witness(const escrow_book& book,
                                          const process_id& except,
                                          bool any_zone) const
{
    const auto now = time_point_t::clock::now();
    process_id best;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& [host, holding] : book.hosts)
    {
        const process_id id{host, holding.incarnation};
        const auto known = m_last_heartbeats.find(id);
        const bool same_zone = holding.zone == m_zone;
        if (host == m_self.host || id == except || (!same_zone && !any_zone) ||
            known == m_last_heartbeats.end() ||
            now - known->second > max_heartbeat_age)
            continue;
        // Rendezvous hashing spreads the owners over the processes.
        const std::pair rank{!same_zone, hash64(m_self.host, hash64(host))};
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
    const auto unanswered = m_unanswered_since.find(witness);
    return unanswered != m_unanswered_since.end() &&
           time_point_t::clock::now() - unanswered->second > silence_timeout;
}

bool witness_keeper::request_confirmation(const process_id& witness)
{
    auto missing = unconfirmed(m_ceilings, witness);
    if (missing.empty())
        return false;
    m_unanswered_since.try_emplace(witness, time_point_t::clock::now());
    m_callbacks.send(witness.host,
                     {m_self, witness, std::move(missing), false});
    return true;
}

bool witness_keeper::request_confirmations()
{
    bool sent = false;
    for (const auto& each : m_witnesses)
        sent = request_confirmation(each) || sent;
    return sent;
}

asio::awaitable<void> witness_keeper::run()
{
    bool outstanding = false;
    for (;;)
    {
        m_timer.expires_after(outstanding ? request_retry_delay
                                          : silence_timeout);
        const auto [fault] =
            co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        // A cancelled wait means that requests have just been sent; their retry
        // delay starts now.
        outstanding = fault ? true : request_confirmations();
    }
}

} // namespace rhubarbgrade
