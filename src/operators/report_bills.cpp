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

/// The bills of one request.
struct request_bills
{
    int bills = 0; ///< more than one is a fault
    token_count_t tokens = 0;
    std::string endpoint;
};

using bills_t = std::map<std::string, request_bills>;

result<bills_t> read_bills(object_api& api, const std::string& customer)
{
    const auto names = api.list("bills/");
    if (!names)
        return tl::unexpected(names.error());
    bills_t by_request;
    for (const auto& name : *names)
    {
        const auto object = api.read(name);
        if (!object)
            return tl::unexpected(object.error());
        const auto batch = parse_bill_batch(object->value);
        if (!batch)
            return tl::unexpected(batch.error());
        for (const auto& bill : batch->bills)
        {
            if (bill.customer != customer)
                continue;
            auto& row = by_request[bill.request];
            row.bills++;
            row.tokens += bill.tokens;
            row.endpoint = bill.endpoint;
        }
    }
    return by_request;
}

/// Tokens by request from an endpoint's own record, a file of JSON lines with
/// "id" and, where a run ended, "tokens".
std::map<std::string, token_count_t> read_record(const std::string& path)
{
    std::map<std::string, token_count_t> recorded;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);)
    {
        const auto event = json::parse(line, nullptr, false);
        if (event.is_object() && event.contains("tokens"))
            recorded[event.value("id", "")] +=
                event["tokens"].get<token_count_t>();
    }
    return recorded;
}

/// Requests whose bills differ from the endpoints' records, or that have more
/// than one bill.
json find_differences(const bills_t& bills,
                      const std::map<std::string, token_count_t>& recorded)
{
    json differences = json::array();
    for (const auto& [request, row] : bills)
    {
        const auto record = recorded.find(request);
        const bool same =
            record != recorded.end() && record->second == row.tokens;
        if (!same || row.bills != 1)
            differences.push_back(
                {{"request", request},
                 {"bills", row.bills},
                 {"billed", row.tokens},
                 {"ran", record == recorded.end() ? 0 : record->second}});
    }
    return differences;
}

} // namespace

command_exit report_bills(const command_context& context)
{
    auto api = make_platform_client(context.options);
    const auto bills = read_bills(api, context.arguments[0]);
    if (!bills)
        return fail(context, bills.error());
    json report{{"customer", context.arguments[0]}, {"bills", json::array()}};
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
    std::map<std::string, token_count_t> recorded;
    for (std::size_t index = 1; index < context.arguments.size(); ++index)
        for (const auto& [request, tokens] :
             read_record(context.arguments[index]))
            recorded[request] += tokens;
    if (context.arguments.size() > 1)
        report["differences"] = find_differences(*bills, recorded);
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
