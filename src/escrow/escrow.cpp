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

token_count_t tokens_of(const token_map_t& tokens, std::string_view customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

token_count_t saturating_subtract(token_count_t whole, token_count_t part)
{
    return whole > part ? whole - part : 0;
}

token_count_t tokens_for(double rate, double seconds)
{
    return static_cast<token_count_t>(std::max(0.0, rate * seconds));
}

/// Closes a holding; tokens drawn above @a spent_at_most return to the budget.
void close(escrow_book& book, const ended_holding& holding,
           const token_map_t& spent_at_most)
{
    for (const auto& [customer, tokens] : holding.drawn)
        book.closed[customer] +=
            std::min(tokens, tokens_of(spent_at_most, customer));
    for (const auto& [customer, tokens] : holding.used)
        book.closed_used[customer] += tokens;
}

json encode(const process_id& process)
{
    return {{"host", process.host}, {"incarnation", process.incarnation}};
}

process_id decode_process(const json& process)
{
    return {process.at("host").get<std::string>(),
            process.at("incarnation").get<std::string>()};
}

json encode(const account_repair& repair)
{
    json ceilings = json::array();
    for (const auto& [owner, tokens] : repair.ceilings)
        ceilings.push_back({{"owner", encode(owner)}, {"tokens", tokens}});
    return {{"era", repair.base_era},
            {"revision", repair.base_revision},
            {"declared", repair.declared},
            {"ceilings", std::move(ceilings)}};
}

account_repair decode_repair(const json& source)
{
    account_repair repair;
    source.at("era").get_to(repair.base_era);
    source.at("revision").get_to(repair.base_revision);
    source.at("declared").get_to(repair.declared);
    for (const auto& each : source.at("ceilings"))
        repair.ceilings[decode_process(each.at("owner"))] =
            each.at("tokens").get<token_map_t>();
    return repair;
}

} // namespace

budget_totals_t totals_of(const escrow_book& book)
{
    budget_totals_t totals;
    const auto add =
        [&totals](const token_map_t& drawn, const token_map_t& used)
    {
        for (const auto& [customer, tokens] : drawn)
            totals[customer].drawn += tokens;
        for (const auto& [customer, tokens] : used)
            totals[customer].used += tokens;
    };
    add(book.closed, book.closed_used);
    for (const auto& [host, holding] : book.hosts)
        add(holding.drawn, holding.used);
    for (const auto& each : book.ended)
        add(each.drawn, each.used);
    return totals;
}

token_count_t undrawn(const escrow_book& book, std::string_view customer,
                      token_count_t prepaid)
{
    token_count_t drawn = tokens_of(book.closed, customer);
    for (const auto& [host, holding] : book.hosts)
        drawn += tokens_of(holding.drawn, customer);
    for (const auto& each : book.ended)
        drawn += tokens_of(each.drawn, customer);
    return saturating_subtract(prepaid, drawn);
}

token_count_t known_used(const escrow_book& book, std::string_view customer)
{
    token_count_t used = tokens_of(book.closed_used, customer);
    for (const auto& [host, holding] : book.hosts)
        used += tokens_of(holding.used, customer);
    for (const auto& each : book.ended)
        used += tokens_of(each.used, customer);
    return used;
}

bool adopt(escrow_book& book, const process_id& self, std::string_view address,
           std::string_view zone)
{
    auto& own_holding = book.hosts[self.host];
    if (own_holding.incarnation == self.incarnation)
        return false;
    ended_holding previous{{self.host, own_holding.incarnation},
                           std::move(own_holding.witness),
                           std::move(own_holding.drawn),
                           std::move(own_holding.used)};
    if (previous.witness.none())
        close(book, previous, previous.drawn);
    else
        book.ended.push_back(std::move(previous));
    own_holding = {};
    own_holding.incarnation = self.incarnation;
    own_holding.address = address;
    own_holding.zone = zone;
    return true;
}

std::map<process_id, token_map_t> ceilings_of_ended(const escrow_book& book,
                                                    const process_id& self,
                                                    witness_record& memory)
{
    std::map<process_id, token_map_t> ceilings;
    for (const auto& each : book.ended)
        if (each.witness == self)
            ceilings[each.owner] = close_owner(memory, each.owner);
    return ceilings;
}

bool close_ended(escrow_book& book, const process_id& self,
                 const std::map<process_id, token_map_t>& ceilings)
{
    const auto closable = [&](const ended_holding& each)
    {
        if (each.witness == self)
        {
            const auto confirmed = ceilings.find(each.owner);
            if (confirmed == ceilings.end())
                return false;
            close(book, each, confirmed->second);
            return true;
        }
        const auto witness_host = book.hosts.find(each.witness.host);
        if (witness_host == book.hosts.end() ||
            witness_host->second.incarnation == each.witness.incarnation)
            return false;
        close(book, each, each.drawn);
        return true;
    };
    return std::erase_if(book.ended, closable) > 0;
}

bool close_ended(escrow_book& book, const process_id& self,
                 witness_record& memory)
{
    return close_ended(book, self, ceilings_of_ended(book, self, memory));
}

double target_seconds(const wallet_state& state, token_count_t left,
                      const escrow_policy& policy)
{
    const auto fleet_rate = std::max(
        state.fleet_rate > 0 ? state.fleet_rate
                             : state.rate * static_cast<double>(policy.hosts),
        state.rate);
    if (fleet_rate <= 0)
        return policy.max_holding_s;
    return std::clamp(policy.undrawn_share * static_cast<double>(left) /
                          fleet_rate,
                      policy.min_holding_s, policy.max_holding_s);
}

token_count_t desired_holding(const wallet_state& state, token_count_t left,
                              token_count_t prepaid,
                              const escrow_policy& policy, double draw_below)
{
    const auto in_use = state.reserved + state.used;
    const auto free = saturating_subtract(state.drawn, in_use);
    // Limited by the undrawn tokens, so that idle hosts hold little of a budget
    // that is nearly used up.
    const auto idle_holding = static_cast<token_count_t>(
        static_cast<double>(std::min(prepaid, left)) * policy.idle_share /
        static_cast<double>(std::max<std::size_t>(1, policy.hosts)));
    // Room for two requests, as long as the holdings of all hosts for them stay
    // within their share of what is left.
    const auto fair_share = static_cast<token_count_t>(
        static_cast<double>(left) * policy.undrawn_share /
        static_cast<double>(std::max<std::size_t>(1, policy.hosts)));
    const auto min_target =
        std::max(idle_holding, std::min(fair_share, 2 * state.largest));
    const auto target =
        std::max(min_target,
                 tokens_for(state.rate, target_seconds(state, left, policy)));
    const auto threshold = tokens_for(static_cast<double>(target), draw_below);
    if (free < threshold + state.waiting)
    {
        const auto max_draw =
            std::max(state.waiting,
                     static_cast<token_count_t>(static_cast<double>(left) *
                                                policy.undrawn_share));
        return state.drawn +
               std::min({saturating_subtract(target + state.waiting, free),
                         max_draw, left});
    }
    if (free > tokens_for(static_cast<double>(target), policy.high_watermark) +
                   state.waiting)
        return in_use + target;
    return state.drawn;
}

bool draw_tokens(token_map_t& drawn, budget_totals_t& totals,
                 const token_map_t& budgets, const wallet_states_t& states,
                 const escrow_policy& policy, double draw_below,
                 const token_map_t& skipped, token_map_t& excess)
{
    bool drawn_any = false;
    for (const auto& [customer, prepaid] : budgets)
    {
        wallet_state state;
        if (const auto known = states.find(customer); known != states.end())
            state = known->second;
        state.drawn = tokens_of(drawn, customer);
        auto& total = totals[customer];
        const auto desired =
            desired_holding(state, saturating_subtract(prepaid, total.drawn),
                            prepaid, policy, draw_below);
        if (desired > state.drawn && !skipped.contains(customer))
        {
            total.drawn += desired - state.drawn;
            drawn[customer] = desired;
            drawn_any = true;
        }
        else if (desired < state.drawn)
            excess[customer] = desired;
    }
    return drawn_any;
}

bool draw_tokens(escrow_book& book, std::string_view host,
                 const token_map_t& budgets, const wallet_states_t& states,
                 const escrow_policy& policy, double draw_below,
                 const token_map_t& skipped, token_map_t& excess)
{
    auto totals = totals_of(book);
    return draw_tokens(book.hosts[std::string(host)].drawn, totals, budgets,
                       states, policy, draw_below, skipped, excess);
}

bool certainly_exhausted(const escrow_book& book, std::string_view customer,
                         token_count_t prepaid, token_count_t bound)
{
    return known_used(book, customer) + bound > prepaid;
}

std::string encode_escrow_book(const escrow_book& book)
{
    json hosts = json::object();
    for (const auto& [host_name, holding] : book.hosts)
        hosts[host_name] = {{"incarnation", holding.incarnation},
                            {"address", holding.address},
                            {"zone", holding.zone},
                            {"witness", encode(holding.witness)},
                            {"drawn", holding.drawn},
                            {"used", holding.used},
                            {"sequence", holding.sequence},
                            {"capacity", holding.capacity}};
    json ended = json::array();
    for (const auto& each : book.ended)
        ended.push_back({{"owner", encode(each.owner)},
                         {"witness", encode(each.witness)},
                         {"drawn", each.drawn},
                         {"used", each.used}});
    json encoded{{"closed", book.closed},
                 {"ended", std::move(ended)},
                 {"closed_used", book.closed_used},
                 {"hosts", std::move(hosts)},
                 {"era", book.era}};
    if (book.repair)
        encoded["repair"] = encode(*book.repair);
    return encoded.dump();
}

result<escrow_book> decode_escrow_book(std::string_view text)
try
{
    const auto source = json::parse(text);
    escrow_book book;
    source.at("closed").get_to(book.closed);
    source.at("closed_used").get_to(book.closed_used);
    for (const auto& [host_name, each] : source.at("hosts").items())
    {
        auto& holding = book.hosts[host_name];
        each.at("incarnation").get_to(holding.incarnation);
        each.at("address").get_to(holding.address);
        each.at("zone").get_to(holding.zone);
        holding.witness = decode_process(each.at("witness"));
        each.at("drawn").get_to(holding.drawn);
        each.at("used").get_to(holding.used);
        holding.sequence = each.value("sequence", std::uint64_t{0});
        holding.capacity = each.value("capacity", 0.0);
    }
    for (const auto& each : source.at("ended"))
        book.ended.push_back({decode_process(each.at("owner")),
                              decode_process(each.at("witness")),
                              each.at("drawn").get<token_map_t>(),
                              each.at("used").get<token_map_t>()});
    book.era = source.value("era", std::uint64_t{0});
    if (const auto repair = source.find("repair"); repair != source.end())
        book.repair = decode_repair(*repair);
    return book;
}
catch (const json::exception& parse_error)
{
    return failure(errc::malformed, "decode escrow", "store",
                   parse_error.what());
}

} // namespace rhubarbgrade
