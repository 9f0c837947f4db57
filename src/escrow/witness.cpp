#include <rhubarbgrade/detail/escrow/witness.hpp>

#include <algorithm> // all_of, max
#include <string>    // string

namespace rhubarbgrade
{

namespace
{

token_count_t tokens_of(const token_map_t& tokens, const std::string& customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

/// Raises each ceiling to at least @a minimum.
/// @return whether any ceiling was raised
bool raise_to(token_map_t& target, const token_map_t& minimum)
{
    bool raised_any = false;
    for (const auto& [customer, tokens] : minimum)
    {
        auto& entry = target[customer];
        raised_any = raised_any || tokens > entry;
        entry = std::max(entry, tokens);
    }
    return raised_any;
}

} // namespace

bool record_ceilings(witness_record& memory, const witness_message& request)
{
    if (memory.closed.contains(request.owner))
        return false;
    raise_to(memory.ceilings[request.owner], request.ceilings);
    return true;
}

token_map_t close_owner(witness_record& memory, const process_id& owner)
{
    memory.closed.insert(owner);
    const auto found = memory.ceilings.find(owner);
    return found == memory.ceilings.end() ? token_map_t() : found->second;
}

void request_ceiling(owner_ceilings& bond, const std::string& customer,
                     token_count_t ceiling)
{
    auto& requested = bond.wanted[customer];
    requested = std::max(requested, ceiling);
}

token_map_t unconfirmed(const owner_ceilings& bond, const process_id& witness)
{
    token_map_t missing;
    for (const auto& [customer, tokens] : bond.wanted)
        if (confirmed_ceiling(bond, witness, customer) < tokens)
            missing[customer] = tokens;
    return missing;
}

bool apply_confirmation(owner_ceilings& bond, const witness_message& answer)
{
    return raise_to(bond.confirmed[answer.witness], answer.ceilings);
}

token_count_t confirmed_ceiling(const owner_ceilings& bond,
                                const process_id& witness,
                                const std::string& customer)
{
    const auto known = bond.confirmed.find(witness);
    return known == bond.confirmed.end() ? 0
                                         : tokens_of(known->second, customer);
}

bool covers(const owner_ceilings& bond, const process_id& successor,
            const process_id& current)
{
    const auto known = bond.confirmed.find(current);
    if (known == bond.confirmed.end())
        return true;
    return std::all_of(known->second.begin(), known->second.end(),
                       [&](const auto& item)
                       {
                           return confirmed_ceiling(bond, successor,
                                                    item.first) >= item.second;
                       });
}

} // namespace rhubarbgrade
