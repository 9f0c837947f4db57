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
    token_count_t all = 0;
    for (const auto& [zone, tokens] : by_zone)
        all += tokens;
    return all;
}

std::int64_t enter_draw(shard_account& line, const std::string& zone,
                        std::int64_t wanted, token_count_t prepaid)
{
    auto& granted = line.granted[zone];
    const auto all = granted_total(line);
    const auto free = prepaid > all ? prepaid - all : 0;
    const auto least = -static_cast<std::int64_t>(granted);
    const auto most = static_cast<std::int64_t>(free);
    const auto amount = std::clamp(wanted, least, most);
    granted =
        static_cast<token_count_t>(static_cast<std::int64_t>(granted) + amount);
    return amount;
}

} // namespace

std::string shard_name(std::string_view customer)
{
    return "budget/" + std::to_string(hash64(customer) % shard_count);
}

token_count_t granted_total(const shard_account& line)
{
    return sum(line.granted);
}

token_count_t settled_total(const shard_account& line)
{
    return sum(line.settled);
}

bool settle_batch(budget_shard& shard, const ledger_id& writer,
                  std::string_view zone, std::uint64_t batch,
                  std::span<const bill> bills)
{
    auto& row = shard.writers[to_string(writer)];
    if (row.batch >= batch)
        return false;
    row.batch = batch;
    for (const auto& owed : bills)
        shard.customers[owed.customer].settled[std::string(zone)] +=
            owed.tokens;
    return true;
}

std::map<std::string, std::int64_t>
draw_tokens(budget_shard& shard, const ledger_id& writer, std::string_view zone,
            const std::map<std::string, std::int64_t>& wanted,
            const std::map<std::string, token_count_t>& prepaid)
{
    std::map<std::string, std::int64_t> entered;
    for (const auto& [customer, amount] : wanted)
    {
        const auto paid = prepaid.find(customer);
        const auto most = paid == prepaid.end() ? 0 : paid->second;
        const auto done = enter_draw(shard.customers[customer],
                                     std::string(zone), amount, most);
        if (done != 0)
            entered[customer] = done;
    }
    auto& row = shard.writers[to_string(writer)];
    row.draw++;
    row.drawn = entered;
    return entered;
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
        for (const auto& [name, line] : document.at("customers").items())
            shard.customers[name] = {line.at("granted"), line.at("settled")};
        for (const auto& [name, row] : document.at("writers").items())
            shard.writers[name] = {row.at("batch"), row.at("draw"),
                                   row.at("drawn")};
    }
    catch (const json::exception& problem)
    {
        return failure(errc::malformed, "parse_shard", {}, problem.what());
    }
    return shard;
}

std::string to_text(const budget_shard& shard)
{
    json document{{"customers", json::object()}, {"writers", json::object()}};
    for (const auto& [name, line] : shard.customers)
        document["customers"][name] = {{"granted", line.granted},
                                       {"settled", line.settled}};
    for (const auto& [name, row] : shard.writers)
        document["writers"][name] = {
            {"batch", row.batch}, {"draw", row.draw}, {"drawn", row.drawn}};
    return document.dump();
}

} // namespace rhubarbgrade
