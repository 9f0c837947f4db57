#include "escrow_keeper.hpp"

#include <set>     // set
#include <string>  // string
#include <utility> // exchange, move

#include <spdlog/spdlog.h> // warn

#include <rhubarbgrade/detail/escrow/account_repair.hpp> // start_repair

#include "../store/store_client.hpp" // store_client
#include "escrow_calls.hpp"          // call_timeout
#include "witness_keeper.hpp"        // witness_keeper

// The repair of the escrow account after the store came back from a copy.

namespace rhubarbgrade
{

namespace asio = boost::asio;

namespace
{

/// Interval between two steps of a repair, and between two sends of a
/// declaration, which may be lost.
constexpr milliseconds repair_interval{50};
constexpr milliseconds declare_interval{100};

/// Interval at which a host that does not write looks whether the repair has
/// ended.
constexpr milliseconds repair_read_interval{300};

/// Time in which each host that runs learns of the new era: the pause of a
/// failed watch and a heartbeat.
constexpr milliseconds min_repair_time{600};

/// Time after which the repair ends without the hosts that have not declared:
/// the contact bound, after which a fault counts as over.
constexpr milliseconds max_repair_time{3000};

/// Age of the last heartbeat up to which a host is waited for.
constexpr milliseconds max_heartbeat_age{1300};

/// Time after the start of this host until which peers may not know it.
constexpr milliseconds introduction{5000};

} // namespace

bool escrow_keeper::in_repair() const
{
    return m_view.restored.has_value();
}

/// This host's declaration in the repair in progress.
account_change escrow_keeper::declaration(const restored_account& restored)
{
    if (m_declaration && m_declaration->declares == restored.era)
        return *m_declaration;
    m_repair_since = time_point_t::clock::now();
    m_declared_at = {};
    auto own = make_declaration(make_change(), restored.era, m_view, m_states,
                                m_witnesses.confirmed_for_others());
    own.sequence = ++m_view.last_sequence;
    m_declaration = own;
    spdlog::warn("event=account_in_repair era={} revision={} known_era={} "
                 "known_revision={}",
                 restored.era, restored.revision, m_view.era, m_view.revision);
    return own;
}

/// Enters this host's declaration and those received from peers.
bool escrow_keeper::enter_declarations(escrow_book& book,
                                       const account_change& own)
{
    bool changed = apply_declaration(book, own);
    for (const auto& [owner, each] : std::exchange(m_received, {}))
        changed = apply_declaration(book, each) || changed;
    return changed;
}

bool escrow_keeper::repair_complete(const escrow_book& book) const
{
    const auto now = time_point_t::clock::now();
    std::set<std::string> all;
    for (const auto& [host, holding] : book.hosts)
        all.insert(host);
    if (all_declared(book, all) || now - m_repair_since > max_repair_time)
        return true;
    std::set<std::string> running;
    for (const auto& [host, contact] : m_contacts)
        if (now - contact.heard_at <= max_heartbeat_age)
            running.insert(host);
    // A host that has just started, or whose peers have, may not be heard yet.
    for (const auto& host : all)
        if (!m_contacts.contains(host) && now - m_started < introduction)
            running.insert(host);
    return now - m_repair_since > min_repair_time &&
           all_declared(book, running);
}

asio::awaitable<void> escrow_keeper::write_repair(const escrow_book& book,
                                                  std::uint64_t revision)
{
    const auto reply = co_await put_account(book, revision);
    if (reply.is(200) || reply.is(409))
        apply_object(reply.body, reply.era);
    else
        m_stale = true;
}

/// Makes one step of the repair of the account.
/// @return pause until the next step
asio::awaitable<milliseconds>
escrow_keeper::repair_account(restored_account restored)
{
    const auto own = declaration(restored);
    const auto now = time_point_t::clock::now();
    const bool started =
        restored.book.era == restored.era && restored.book.repair;
    const bool newer = has_newer_copy(restored.book, restored.revision, m_view);
    // The copy of a host that has just started may not list all.
    const auto& listing = m_view.book.hosts.size() > restored.book.hosts.size()
                              ? m_view.book
                              : restored.book;
    const auto writer =
        choose_writer(listing, m_identity.process.host, m_identity.capacity,
                      m_contacts, m_started, m_reachable_since, now);
    if (writer == m_identity.process.host || (started && newer) ||
        now - m_repair_since > max_repair_time)
    {
        auto book = restored.book;
        bool changed = !started || newer;
        if (changed)
            start_repair(book, restored.revision, restored.era, m_view);
        changed = enter_declarations(book, own) || changed;
        if (const auto& repair = book.repair; repair && repair_complete(book))
        {
            spdlog::warn("event=account_repaired era={} base_era={} "
                         "base_revision={} hosts={} declared={}",
                         restored.era, repair->base_era, repair->base_revision,
                         book.hosts.size(), repair->declared.size());
            finish_repair(book, m_budgets);
            changed = true;
        }
        if (changed)
        {
            co_await write_repair(book, restored.revision);
            co_return repair_interval;
        }
    }
    else if ((started || !newer) && now - m_declared_at >= declare_interval &&
             !(started &&
               all_declared(restored.book, {m_identity.process.host})))
    {
        m_declared_at = now;
        if (const auto peer = listing.hosts.find(writer);
            peer != listing.hosts.end())
            m_listener.send_change(peer->second.address, own);
    }
    if (now - m_read_at > repair_read_interval)
        co_await refresh(false);
    co_return repair_interval;
}

} // namespace rhubarbgrade
