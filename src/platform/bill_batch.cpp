#include <rhubarbgrade/detail/platform/bill_batch.hpp>

#include <string>      // string, to_string
#include <string_view> // string_view

#include <nlohmann/json.hpp> // json

namespace rhubarbgrade
{

using nlohmann::json;

std::string bill_batch_name(const ledger_id& id, std::uint64_t number)
{
    return "bills/" + to_string(id) + "/" + std::to_string(number);
}

result<bill_batch> parse_bill_batch(std::string_view text)
{
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return failure(errc::malformed, "parse_bill_batch");
    bill_batch batch;
    try
    {
        batch.zone = document.at("zone");
        batch.last = document.at("last");
        for (const auto& row : document.at("bills"))
            batch.bills.push_back({row.at(0), row.at(1), row.at(2), row.at(3),
                                   token_pool::shared});
    }
    catch (const json::exception& parse_error)
    {
        return failure(errc::malformed, "parse_bill_batch", {},
                       parse_error.what());
    }
    return batch;
}

std::string to_text(const bill_batch& batch)
{
    json rows = json::array();
    for (const auto& charge : batch.bills)
        rows.push_back(
            {charge.request, charge.customer, charge.tokens, charge.endpoint});
    return json{{"zone", batch.zone}, {"last", batch.last}, {"bills", rows}}
        .dump();
}

} // namespace rhubarbgrade
