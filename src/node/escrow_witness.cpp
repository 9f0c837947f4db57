#include "escrow_keeper.hpp"

#include <algorithm> // all_of, min
#include <limits>    // numeric_limits
#include <string>    // string
#include <utility>   // move
#include <vector>    // vector

#include "witness_keeper.hpp" // witness_keeper

// Which witness a host has, and how far it lets the host spend.

namespace rhubarbgrade
{

namespace
{

/// A new process takes a witness of its own zone only for so long, while the
/// hosts of a fleet that starts are still becoming known.
constexpr milliseconds own_zone_first{3000};

} // namespace

process_id escrow_keeper::registered() const
{
    return adopted()
               ? m_book.hosts.find(m_identity.process.host)->second.witness
               : process_id();
}

/// The least that any process has confirmed which is, or may be, the witness.
token_count_t escrow_keeper::limit_of(const std::string& customer) const
{
    auto limit = std::numeric_limits<token_count_t>::max();
    const auto lower = [&](const process_id& witness)
    {
        if (!witness.none())
            limit = std::min(limit, confirmed_ceiling(m_witnesses.bond(),
                                                      witness, customer));
    };
    lower(registered());
    if (m_pending)
        lower(m_pending->witness);
    if (m_limited)
        lower(m_candidate);
    return limit;
}

void escrow_keeper::drop_candidate()
{
    m_candidate = {};
    m_limited = false;
}

/// Finds a witness for a host that has none, and another one for a silent one.
void escrow_keeper::look_after_witness()
{
    if (!adopted() || m_pending)
        return;
    const auto now = time_point_t::clock::now();
    const auto current = registered();
    const bool wanting = current.none() || m_witnesses.silent(current);
    if (!m_candidate.none() &&
        (!wanting || m_candidate == current || m_witnesses.silent(m_candidate)))
        drop_candidate();
    if (wanting && m_candidate.none())
        m_candidate = m_witnesses.choose(m_book, current,
                                         !current.none() || now - m_adopted_at >
                                                                own_zone_first);
    std::vector<process_id> asked;
    for (const auto& each : {current, m_candidate})
        if (!each.none())
            asked.push_back(each);
    m_witnesses.set_asked(std::move(asked));
    // What is in use must not outgrow the first ceilings while they are being
    // registered: the limit holds from before that, and its news come back.
    if (current.none() && !m_candidate.none() && !m_limited &&
        unconfirmed(m_witnesses.bond(), m_candidate).empty())
    {
        m_limited = true;
        ++m_round;
        tell();
    }
}

/// Whether the candidate may be registered now.
bool escrow_keeper::candidate_ready() const
{
    if (m_candidate.none() || m_pending)
        return false;
    const auto& bond = m_witnesses.bond();
    if (!registered().none())
        return covers(bond, m_candidate, registered());
    if (!m_limited)
        return false;
    return std::all_of(m_states.begin(), m_states.end(),
                       [&](const auto& item)
                       {
                           const auto& state = item.second;
                           return state.round >= m_round &&
                                  state.used + state.reserved <=
                                      confirmed_ceiling(bond, m_candidate,
                                                        item.first);
                       });
}

} // namespace rhubarbgrade
