#include <rhubarbgrade/detail/escrow/writer_choice.hpp>

#include <string>  // string
#include <utility> // pair

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{

namespace
{

bool eligible(const host_contacts_t& contacts, const std::string& host,
              time_point_t started, time_point_t reachable_since,
              time_point_t now, const writer_policy& policy)
{
    const auto known = contacts.find(host);
    if (known != contacts.end() && now < known->second.avoid_until)
        return false;
    if (known == contacts.end() || known->second.heard_at == time_point_t{})
        return now - started < policy.introduction;
    const bool recovering = now - reachable_since < policy.recovery;
    return (known->second.can_write || recovering) &&
           now - known->second.heard_at <= policy.max_heartbeat_age;
}

} // namespace

std::string choose_writer(const escrow_book& book, const std::string& self,
                          double capacity, const host_contacts_t& contacts,
                          time_point_t started, time_point_t reachable_since,
                          time_point_t now, const writer_policy& policy)
{
    auto best = self;
    // Hosts that the account does not list yet would all choose themselves.
    std::pair best_rank{book.hosts.contains(self) ? capacity : -1.0,
                        hash64(self)};
    for (const auto& [host, holding] : book.hosts)
    {
        const std::pair rank{holding.capacity, hash64(host)};
        if (host == self || rank <= best_rank ||
            !eligible(contacts, host, started, reachable_since, now, policy))
            continue;
        best = host;
        best_rank = rank;
    }
    return best;
}

} // namespace rhubarbgrade
