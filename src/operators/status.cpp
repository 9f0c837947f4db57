#include <iomanip> // setw
#include <ostream> // ostream
#include <string>  // string

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/budget/shard.hpp>          // budget_shard
#include <rhubarbgrade/detail/membership/members.hpp>    // listed_host
#include <rhubarbgrade/detail/moves/ramp.hpp>            // move_key
#include <rhubarbgrade/detail/platform/ledger_table.hpp> // ledger_table

#include "command_context.hpp" // command_context

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

result<json> budgets_of(object_api& api, const object_set& objects)
{
    json rows = json::object();
    std::map<std::string, budget_shard> shards;
    for (const auto& [name, object] : objects.customers)
    {
        const auto shard = shard_name(name);
        if (!shards.contains(shard))
        {
            const auto text = api.read(shard);
            if (!text && text.error().code != errc::absent)
                return tl::unexpected(text.error());
            auto read = parse_shard(text ? text->value : std::string());
            if (!read)
                return tl::unexpected(read.error());
            shards[shard] = std::move(*read);
        }
        const auto& account = shards[shard].customers[name];
        const auto granted = granted_total(account);
        const auto settled = settled_total(account);
        rows[name] = {{"prepaid", object.prepaid_tokens},
                      {"settled", settled},
                      {"held_by_hosts", granted - std::min(granted, settled)},
                      {"left", object.prepaid_tokens -
                                   std::min(object.prepaid_tokens, settled)}};
    }
    return rows;
}

json moves_of(object_api& api, const object_set& objects)
{
    json rows = json::object();
    for (const auto& [name, plan] : objects.moves)
    {
        const auto outcome = api.read("moves/" + move_key(plan));
        const auto value = outcome ? json::parse(outcome->value, nullptr, false)
                                   : json::object();
        std::string state = "open";
        if (outcome)
            state = value.value("taken_back", false) ? "taken back" : "done";
        rows[name] = {{"state", state},
                      {"reason", value.value("reason", "")},
                      {"from", plan.from},
                      {"to", plan.to}};
    }
    return rows;
}

json hosts_of(object_api& api)
{
    json rows = json::object();
    const auto hosts = api.hosts();
    if (!hosts)
        return rows;
    for (const auto& host : *hosts)
        rows[host.name] = {{"zone", host.zone},
                           {"state", host.leaving ? "leaving" : "live"}};
    return rows;
}

json routers_of(const command_options& options)
{
    json rows = json::object();
    for (const auto& address : options.routers)
    {
        const auto page = read_admin(address, "/status");
        rows[address] = page ? json::parse(*page, nullptr, false)
                             : json{{"error", page.error().message()}};
    }
    return rows;
}

void print(std::ostream& out, const json& status)
{
    constexpr int name_width = 20;
    constexpr int column_width = 14;
    out << "generation " << status["generation"] << " by "
        << status["author"].get<std::string>() << "\n\nbudgets\n"
        << std::left << std::setw(name_width) << "  customer" << std::right
        << std::setw(column_width) << "prepaid" << std::setw(column_width)
        << "settled" << std::setw(column_width) << "held by hosts"
        << std::setw(column_width) << "left" << '\n';
    for (const auto& [name, row] : status["budgets"].items())
        out << std::left << std::setw(name_width) << "  " + name << std::right
            << std::setw(column_width) << row["prepaid"].dump()
            << std::setw(column_width) << row["settled"].dump()
            << std::setw(column_width) << row["held_by_hosts"].dump()
            << std::setw(column_width) << row["left"].dump() << '\n';
    out << "\nmoves\n";
    for (const auto& [name, row] : status["moves"].items())
        out << "  " << name << ": " << row["from"].get<std::string>() << " -> "
            << row["to"].get<std::string>() << ": "
            << row["state"].get<std::string>() << ' '
            << row["reason"].get<std::string>() << '\n';
    out << "\nhosts\n";
    for (const auto& [name, row] : status["hosts"].items())
        out << "  " << name << " (" << row["zone"].get<std::string>()
            << "): " << row["state"].get<std::string>() << '\n';
    for (const auto& [address, row] : status["routers"].items())
        out << "\nrouter " << address << '\n' << row.dump(2) << '\n';
}

} // namespace

command_exit run_status(const command_context& context)
{
    auto api = make_platform_client(context.options);
    const auto set = read_published(api);
    if (!set)
        return fail(context, set.error());
    const auto budgets = budgets_of(api, set->objects);
    if (!budgets)
        return fail(context, budgets.error());
    const json status{{"generation", set->document.generation},
                      {"author", set->document.author},
                      {"budgets", *budgets},
                      {"moves", moves_of(api, set->objects)},
                      {"hosts", hosts_of(api)},
                      {"routers", routers_of(context.options)}};
    if (context.options.json)
        context.out << status.dump() << '\n';
    else
        print(context.out, status);
    return command_exit::done;
}

} // namespace rhubarbgrade
