#include <rhubarbgrade/detail/budget/shard.hpp>

#include <algorithm>   // clamp, min
#include <cstdint>     // int64_t
#include <map>         // map
#include <span>        // span
#include <string>      // string, to_string
#include <string_view> // string_view

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/base/hash.hpp> // hash64

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

token_count_t sum(const std::map<std::string, token_count_t>& by_zone)
{
    token_count_t total = 0;
    for (const auto& [zone, tokens] : by_zone)
        total += tokens;
    return total;
}

std::int64_t apply_draw(shard_account& entry, const std::string& zone,
                        std::int64_t requested, token_count_t prepaid)
{
    auto& granted = entry.granted[zone];
    const auto all_granted = granted_total(entry);
    const auto free = prepaid > all_granted ? prepaid - all_granted : 0;
    const auto lowest = -static_cast<std::int64_t>(granted);
    const auto highest = static_cast<std::int64_t>(free);
    const auto amount = std::clamp(requested, lowest, highest);
    granted =
        static_cast<token_count_t>(static_cast<std::int64_t>(granted) + amount);
    return amount;
}

} // namespace

std::string shard_name(std::string_view customer)
{
    return "budget/" + std::to_string(hash64(customer) % shard_count);
}

token_count_t granted_total(const shard_account& entry)
{
    return sum(entry.granted);
}

token_count_t settled_total(const shard_account& entry)
{
    return sum(entry.settled);
}

bool settle_batch(budget_shard& shard, const ledger_id& writer,
                  std::string_view zone, std::uint64_t batch,
                  std::span<const bill> bills)
{
    auto& last_writes = shard.writers[to_string(writer)];
    if (last_writes.batch >= batch)
        return false;
    last_writes.batch = batch;
    for (const auto& billed : bills)
        shard.customers[billed.customer].settled[std::string(zone)] +=
            billed.tokens;
    return true;
}

std::map<std::string, std::int64_t>
draw_tokens(budget_shard& shard, const ledger_id& writer, std::string_view zone,
            const std::map<std::string, std::int64_t>& requested,
            const std::map<std::string, token_count_t>& prepaid)
{
    std::map<std::string, std::int64_t> applied;
    for (const auto& [customer, amount] : requested)
    {
        const auto prepaid_entry = prepaid.find(customer);
        const auto prepaid_tokens =
            prepaid_entry == prepaid.end() ? 0 : prepaid_entry->second;
        const auto drawn_amount =
            apply_draw(shard.customers[customer], std::string(zone), amount,
                       prepaid_tokens);
        if (drawn_amount != 0)
            applied[customer] = drawn_amount;
    }
    auto& last_writes = shard.writers[to_string(writer)];
    last_writes.draw++;
    last_writes.drawn = applied;
    return applied;
}

result<budget_shard> parse_shard(std::string_view text)
{
    budget_shard shard;
    if (text.empty())
        return shard;
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return failure(errc::malformed, "parse_shard");
    try
    {
        for (const auto& [name, entry] : document.at("customers").items())
            shard.customers[name] = {entry.at("granted"), entry.at("settled")};
        for (const auto& [name, last_writes] : document.at("writers").items())
            shard.writers[name] = {last_writes.at("batch"),
                                   last_writes.at("draw"),
                                   last_writes.at("drawn")};
    }
    catch (const json::exception& failed)
    {
        return failure(errc::malformed, "parse_shard", {}, failed.what());
    }
    return shard;
}

std::string to_text(const budget_shard& shard)
{
    json document{{"customers", json::object()}, {"writers", json::object()}};
    for (const auto& [name, entry] : shard.customers)
        document["customers"][name] = {{"granted", entry.granted},
                                       {"settled", entry.settled}};
    for (const auto& [name, last_writes] : shard.writers)
        document["writers"][name] = {{"batch", last_writes.batch},
                                     {"draw", last_writes.draw},
                                     {"drawn", last_writes.drawn}};
    return document.dump();
}

} // namespace rhubarbgrade
