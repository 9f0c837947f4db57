#include <fstream> // ifstream
#include <map>     // map
#include <ostream> // ostream
#include <string>  // string

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/platform/bill_batch.hpp> // bill_batch

#include "command_context.hpp" // command_context

namespace rhubarbgrade
{
namespace
{

using nlohmann::json;

struct billed
{
    int bills = 0;
    token_count_t tokens = 0;
    std::string endpoint;
};

using bills_t = std::map<std::string, billed>;

result<bills_t> read_bills(object_api& api, const std::string& customer)
{
    const auto names = api.list("bills/");
    if (!names)
        return tl::unexpected(names.error());
    bills_t found;
    for (const auto& name : *names)
    {
        const auto object = api.read(name);
        if (!object)
            return tl::unexpected(object.error());
        const auto batch = parse_bill_batch(object->value);
        if (!batch)
            return tl::unexpected(batch.error());
        for (const auto& owed : batch->bills)
        {
            if (owed.customer != customer)
                continue;
            auto& row = found[owed.request];
            row.bills++;
            row.tokens += owed.tokens;
            row.endpoint = owed.endpoint;
        }
    }
    return found;
}

/// Tokens by request, as an endpoint's own record has them: JSON lines with
/// "id" and, where a run ended, "tokens".
std::map<std::string, token_count_t> read_record(const std::string& path)
{
    std::map<std::string, token_count_t> runs;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);)
    {
        const auto event = json::parse(line, nullptr, false);
        if (event.is_object() && event.contains("tokens"))
            runs[event.value("id", "")] += event["tokens"].get<token_count_t>();
    }
    return runs;
}

json compare(const bills_t& bills,
             const std::map<std::string, token_count_t>& runs)
{
    json differences = json::array();
    for (const auto& [request, row] : bills)
    {
        const auto run = runs.find(request);
        const bool same = run != runs.end() && run->second == row.tokens;
        if (!same || row.bills != 1)
            differences.push_back(
                {{"request", request},
                 {"bills", row.bills},
                 {"billed", row.tokens},
                 {"ran", run == runs.end() ? 0 : run->second}});
    }
    return differences;
}

} // namespace

command_exit report_bills(const command_context& context)
{
    auto api = open_platform(context.options);
    const auto bills = read_bills(api, context.words[0]);
    if (!bills)
        return fail(context, bills.error());
    json report{{"customer", context.words[0]}, {"bills", json::array()}};
    token_count_t sum = 0;
    bool repeated = false;
    for (const auto& [request, row] : *bills)
    {
        report["bills"].push_back({{"request", request},
                                   {"tokens", row.tokens},
                                   {"endpoint", row.endpoint},
                                   {"count", row.bills}});
        sum += row.tokens;
        repeated |= row.bills != 1;
    }
    report["tokens"] = sum;
    std::map<std::string, token_count_t> runs;
    for (std::size_t index = 1; index < context.words.size(); ++index)
        for (const auto& [request, tokens] : read_record(context.words[index]))
            runs[request] += tokens;
    if (context.words.size() > 1)
        report["differences"] = compare(*bills, runs);
    if (context.options.json)
        context.out << report.dump() << '\n';
    else
    {
        for (const auto& row : report["bills"])
            context.out << row["request"].get<std::string>() << ' '
                        << row["tokens"] << " tokens, "
                        << row["endpoint"].get<std::string>() << '\n';
        context.out << bills->size() << " request(s), " << sum << " tokens\n";
        if (report.contains("differences"))
            for (const auto& row : report["differences"])
                context.out << "differs: " << row.dump() << '\n';
    }
    const bool differs =
        report.contains("differences") && !report["differences"].empty();
    return repeated || differs ? command_exit::mismatch : command_exit::done;
}

} // namespace rhubarbgrade
