#include <rhubarbgrade/detail/escrow/witness.hpp>

#include <algorithm> // all_of, max
#include <string>    // string

namespace rhubarbgrade
{

namespace
{

token_count_t value_of(const token_map_t& tokens, const std::string& customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

/// @return whether any value was raised
bool raise(token_map_t& to, const token_map_t& by)
{
    bool raised = false;
    for (const auto& [customer, tokens] : by)
    {
        auto& value = to[customer];
        raised = raised || tokens > value;
        value = std::max(value, tokens);
    }
    return raised;
}

} // namespace

bool remember(witness_memory& memory, const witness_message& asked)
{
    if (memory.closed.contains(asked.owner))
        return false;
    raise(memory.ceilings[asked.owner], asked.ceilings);
    return true;
}

token_map_t close_owner(witness_memory& memory, const process_id& owner)
{
    memory.closed.insert(owner);
    const auto found = memory.ceilings.find(owner);
    return found == memory.ceilings.end() ? token_map_t() : found->second;
}

void want_ceiling(witness_bond& bond, const std::string& customer,
                  token_count_t ceiling)
{
    auto& wanted = bond.wanted[customer];
    wanted = std::max(wanted, ceiling);
}

token_map_t unconfirmed(const witness_bond& bond, const process_id& witness)
{
    token_map_t missing;
    for (const auto& [customer, tokens] : bond.wanted)
        if (confirmed_ceiling(bond, witness, customer) < tokens)
            missing[customer] = tokens;
    return missing;
}

bool take_confirmation(witness_bond& bond, const witness_message& answer)
{
    return raise(bond.confirmed[answer.witness], answer.ceilings);
}

token_count_t confirmed_ceiling(const witness_bond& bond,
                                const process_id& witness,
                                const std::string& customer)
{
    const auto known = bond.confirmed.find(witness);
    return known == bond.confirmed.end() ? 0
                                         : value_of(known->second, customer);
}

bool covers(const witness_bond& bond, const process_id& second,
            const process_id& first)
{
    const auto known = bond.confirmed.find(first);
    if (known == bond.confirmed.end())
        return true;
    return std::all_of(known->second.begin(), known->second.end(),
                       [&](const auto& item)
                       {
                           return confirmed_ceiling(bond, second, item.first) >=
                                  item.second;
                       });
}

} // namespace rhubarbgrade
