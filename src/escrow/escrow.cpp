#include <rhubarbgrade/detail/escrow/escrow.hpp>

#include <algorithm>   // clamp, max, min
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // move

#include <nlohmann/json.hpp> // json

namespace rhubarbgrade
{

namespace
{

using nlohmann::json;

token_count_t value_of(const token_map_t& tokens, std::string_view customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

token_count_t over(token_count_t whole, token_count_t part)
{
    return whole > part ? whole - part : 0;
}

token_count_t tokens_for(double rate, double seconds)
{
    return static_cast<token_count_t>(std::max(0.0, rate * seconds));
}

/// Closes a holding of which no more than @a spent can have been spent.
void close(escrow_book& book, const ended_holding& holding,
           const token_map_t& spent)
{
    for (const auto& [customer, tokens] : holding.drawn)
        book.closed[customer] += std::min(tokens, value_of(spent, customer));
    for (const auto& [customer, tokens] : holding.used)
        book.closed_used[customer] += tokens;
}

json encode(const process_id& from)
{
    return {{"host", from.host}, {"incarnation", from.incarnation}};
}

process_id decode_process(const json& from)
{
    return {from.at("host").get<std::string>(),
            from.at("incarnation").get<std::string>()};
}

} // namespace

token_count_t undrawn(const escrow_book& book, std::string_view customer,
                      token_count_t prepaid)
{
    token_count_t drawn = value_of(book.closed, customer);
    for (const auto& [host, holding] : book.hosts)
        drawn += value_of(holding.drawn, customer);
    for (const auto& each : book.ended)
        drawn += value_of(each.drawn, customer);
    return over(prepaid, drawn);
}

token_count_t known_used(const escrow_book& book, std::string_view customer)
{
    token_count_t used = value_of(book.closed_used, customer);
    for (const auto& [host, holding] : book.hosts)
        used += value_of(holding.used, customer);
    for (const auto& each : book.ended)
        used += value_of(each.used, customer);
    return used;
}

bool adopt(escrow_book& book, const process_id& self, std::string_view address,
           std::string_view zone)
{
    auto& mine = book.hosts[self.host];
    if (mine.incarnation == self.incarnation)
        return false;
    ended_holding old{{self.host, mine.incarnation},
                      std::move(mine.witness),
                      std::move(mine.drawn),
                      std::move(mine.used)};
    if (old.witness.none())
        close(book, old, old.drawn);
    else
        book.ended.push_back(std::move(old));
    mine = {};
    mine.incarnation = self.incarnation;
    mine.address = address;
    mine.zone = zone;
    return true;
}

bool close_ended(escrow_book& book, const process_id& self,
                 witness_memory& memory)
{
    const auto closable = [&](const ended_holding& each)
    {
        if (each.witness == self)
        {
            close(book, each, close_owner(memory, each.owner));
            return true;
        }
        const auto now = book.hosts.find(each.witness.host);
        if (now == book.hosts.end() ||
            now->second.incarnation == each.witness.incarnation)
            return false;
        close(book, each, each.drawn);
        return true;
    };
    return std::erase_if(book.ended, closable) > 0;
}

double target_seconds(const wallet_state& state, token_count_t left,
                      const escrow_policy& policy)
{
    const auto fleet_rate = std::max(
        state.fleet_rate > 0 ? state.fleet_rate
                             : state.rate * static_cast<double>(policy.hosts),
        state.rate);
    if (fleet_rate <= 0)
        return policy.most_s;
    return std::clamp(policy.share_left * static_cast<double>(left) /
                          fleet_rate,
                      policy.least_s, policy.most_s);
}

token_count_t desired_draw(const wallet_state& state, token_count_t left,
                           token_count_t prepaid, const escrow_policy& policy,
                           double part)
{
    const auto in_use = state.reserved + state.used;
    const auto free = over(state.drawn, in_use);
    // Of a nearly spent budget, idle hosts hold little.
    const auto first = static_cast<token_count_t>(
        static_cast<double>(std::min(prepaid, left)) * policy.first_share /
        static_cast<double>(std::max<std::size_t>(1, policy.hosts)));
    const auto floor = std::max(first, 2 * state.largest);
    const auto target = std::max(
        floor, tokens_for(state.rate, target_seconds(state, left, policy)));
    const auto low = tokens_for(static_cast<double>(target), part);
    if (free < low + state.waiting)
    {
        const auto most = std::max(
            state.waiting, static_cast<token_count_t>(
                               static_cast<double>(left) * policy.share_left));
        return state.drawn +
               std::min({over(target + state.waiting, free), most, left});
    }
    if (free > tokens_for(static_cast<double>(target), policy.high_part) +
                   state.waiting)
        return in_use + target;
    return state.drawn;
}

bool draw_tokens(escrow_book& book, std::string_view host,
                 const token_map_t& budgets, const wallet_states_t& states,
                 const escrow_policy& policy, double part,
                 const token_map_t& skipped, token_map_t& back)
{
    bool any = false;
    auto& mine = book.hosts[std::string(host)];
    for (const auto& [customer, prepaid] : budgets)
    {
        wallet_state state;
        if (const auto known = states.find(customer); known != states.end())
            state = known->second;
        state.drawn = value_of(mine.drawn, customer);
        const auto next = desired_draw(state, undrawn(book, customer, prepaid),
                                       prepaid, policy, part);
        if (next > state.drawn && !skipped.contains(customer))
        {
            mine.drawn[customer] = next;
            any = true;
        }
        else if (next < state.drawn)
            back[customer] = next;
    }
    return any;
}

bool certainly_exhausted(const escrow_book& book, std::string_view customer,
                         token_count_t prepaid, token_count_t bound)
{
    return known_used(book, customer) + bound > prepaid;
}

std::string encode_book(const escrow_book& book)
{
    json hosts = json::object();
    for (const auto& [name, holding] : book.hosts)
        hosts[name] = {{"incarnation", holding.incarnation},
                       {"address", holding.address},
                       {"zone", holding.zone},
                       {"witness", encode(holding.witness)},
                       {"drawn", holding.drawn},
                       {"used", holding.used}};
    json ended = json::array();
    for (const auto& each : book.ended)
        ended.push_back({{"owner", encode(each.owner)},
                         {"witness", encode(each.witness)},
                         {"drawn", each.drawn},
                         {"used", each.used}});
    return json{{"closed", book.closed},
                {"ended", std::move(ended)},
                {"closed_used", book.closed_used},
                {"hosts", std::move(hosts)}}
        .dump();
}

result<escrow_book> decode_book(std::string_view text)
try
{
    const auto source = json::parse(text);
    escrow_book book;
    source.at("closed").get_to(book.closed);
    source.at("closed_used").get_to(book.closed_used);
    for (const auto& [name, each] : source.at("hosts").items())
    {
        auto& holding = book.hosts[name];
        each.at("incarnation").get_to(holding.incarnation);
        each.at("address").get_to(holding.address);
        each.at("zone").get_to(holding.zone);
        holding.witness = decode_process(each.at("witness"));
        each.at("drawn").get_to(holding.drawn);
        each.at("used").get_to(holding.used);
    }
    for (const auto& each : source.at("ended"))
        book.ended.push_back({decode_process(each.at("owner")),
                              decode_process(each.at("witness")),
                              each.at("drawn").get<token_map_t>(),
                              each.at("used").get<token_map_t>()});
    return book;
}
catch (const json::exception& fault)
{
    return failure(errc::malformed, "decode escrow", "store", fault.what());
}

} // namespace rhubarbgrade
