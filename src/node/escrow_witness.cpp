#include "escrow_keeper.hpp"

#include <algorithm> // all_of, min
#include <limits>    // numeric_limits
#include <string>    // string
#include <utility>   // move
#include <vector>    // vector

#include "witness_keeper.hpp" // witness_keeper

// Selection of this host's witness, the process on another host that confirms
// how much this host may spend, and the limits that follow from it.

namespace rhubarbgrade
{

namespace
{

/// A new process accepts only a witness of its own zone for this long: while a
/// whole fleet starts, hosts of the zone may not have been heard from yet.
constexpr milliseconds own_zone_only_period{3000};

} // namespace

process_id escrow_keeper::registered_witness() const
{
    return owns_holding()
               ? m_view.book.hosts.find(m_identity.process.host)->second.witness
               : process_id();
}

/// The lowest ceiling confirmed by any process that is, or may already be, the
/// registered witness.
token_count_t escrow_keeper::confirmed_limit(const std::string& customer) const
{
    auto limit = std::numeric_limits<token_count_t>::max();
    const auto apply_ceiling = [&](const process_id& witness)
    {
        if (!witness.none())
            limit = std::min(limit, confirmed_ceiling(m_witnesses.ceilings(),
                                                      witness, customer));
    };
    apply_ceiling(registered_witness());
    if (m_view.pending)
        apply_ceiling(m_view.pending->witness);
    if (m_candidate_limits)
        apply_ceiling(m_candidate);
    return limit;
}

void escrow_keeper::drop_candidate()
{
    m_candidate = {};
    m_candidate_limits = false;
}

/// Chooses a candidate if this host has no witness or an unresponsive one.
void escrow_keeper::update_witness()
{
    if (!owns_holding() || m_view.pending)
        return;
    const auto now = time_point_t::clock::now();
    const auto current = registered_witness();
    const bool needs_witness = current.none() || m_witnesses.silent(current);
    if (!m_candidate.none() && (!needs_witness || m_candidate == current ||
                                m_witnesses.silent(m_candidate)))
        drop_candidate();
    if (needs_witness && m_candidate.none())
        m_candidate = m_witnesses.choose_witness(
            m_view.book, current,
            !current.none() || now - m_holding_since > own_zone_only_period);
    std::vector<process_id> witnesses;
    for (const auto& each : {current, m_candidate})
        if (!each.none())
            witnesses.push_back(each);
    m_witnesses.set_witnesses(std::move(witnesses));
    // Usage must not exceed the first confirmed ceilings while the witness is
    // being registered. So the limit applies before the registration, which
    // waits until the traffic thread has reported this round back.
    if (current.none() && !m_candidate.none() && !m_candidate_limits &&
        unconfirmed(m_witnesses.ceilings(), m_candidate).empty())
    {
        m_candidate_limits = true;
        ++m_limit_round;
        publish_budgets();
    }
}

/// Whether the candidate may be registered now: it must have confirmed what
/// the current witness has or, if there is none, what is in use.
bool escrow_keeper::candidate_ready() const
{
    if (m_candidate.none() || m_view.pending)
        return false;
    const auto& ceilings = m_witnesses.ceilings();
    if (!registered_witness().none())
        return covers(ceilings, m_candidate, registered_witness());
    if (!m_candidate_limits)
        return false;
    return std::all_of(m_states.begin(), m_states.end(),
                       [&](const auto& item)
                       {
                           const auto& state = item.second;
                           return state.round >= m_limit_round &&
                                  state.used + state.reserved <=
                                      confirmed_ceiling(ceilings, m_candidate,
                                                        item.first);
                       });
}

} // namespace rhubarbgrade
