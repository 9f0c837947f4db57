#include <rhubarbgrade/detail/config/load.hpp>

#include <algorithm>    // max
#include <array>        // array
#include <filesystem>   // directory_iterator
#include <fstream>      // ifstream
#include <iterator>     // istreambuf_iterator
#include <limits>       // numeric_limits
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include <rhubarbgrade/detail/config/toml_reader.hpp> // toml_reader

namespace rhubarbgrade
{
namespace
{

constexpr std::int64_t max_prepaid_tokens = std::int64_t{1} << 53U;
constexpr std::int64_t max_tokens_limit = 1 << 20;
constexpr std::int64_t max_timeout_ms = 86400000;
constexpr std::size_t sha256_digits = 64;

template <typename T>
void add(toml_reader& reader, object_set::by_name_t<T>& objects, T object)
{
    object.where = reader.where();
    const bool valid = reader.finish();
    const auto existing = objects.find(object.name);
    if (existing != objects.end())
    {
        const auto& existing_location = existing->second.where;
        reader.report(errc::duplicate_name, "name",
                      "\"" + object.name + "\" is already defined at " +
                          existing_location.file + ":" +
                          std::to_string(existing_location.line));
        return;
    }
    if (valid)
        objects.emplace(object.name, std::move(object));
}

void load_customer(toml_reader& reader, object_set& set)
{
    customer object;
    object.name = reader.text("name");
    object.key_sha256 = reader.texts("key_sha256");
    for (const auto& key : object.key_sha256)
        if (key.size() != sha256_digits ||
            key.find_first_not_of("0123456789abcdef") != std::string::npos)
            reader.report(errc::out_of_range, "key_sha256",
                          "a key must be 64 hexadecimal digits in lower case");
    object.prepaid_tokens = static_cast<token_count_t>(
        reader.number("prepaid_tokens", 0, 0, max_prepaid_tokens));
    object.priority = static_cast<int>(reader.number("priority", 5, 0, 9));
    add(reader, set.customers, std::move(object));
}

service_kind load_kind(toml_reader& reader)
{
    const auto kind = reader.text("kind");
    if (kind != "model" && kind != "plain" && !kind.empty())
        reader.report(errc::out_of_range, "kind",
                      "\"kind\" must be \"model\" or \"plain\"");
    return kind == "plain" ? service_kind::plain : service_kind::model;
}

void load_service(toml_reader& reader, object_set& set)
{
    service object;
    object.name = reader.text("name");
    object.kind = load_kind(reader);
    const bool plain = object.kind == service_kind::plain;
    if (plain)
        object.path = reader.text("path");
    else
        object.model = reader.text("model");
    if (plain && !object.path.empty() && object.path.front() != '/')
        reader.report(errc::out_of_range, "path",
                      "\"path\" must begin with \"/\"");
    object.version = reader.text("version");
    object.idempotent = reader.flag("idempotent", !plain);
    object.default_max_tokens = static_cast<token_count_t>(
        reader.number("default_max_tokens", 256, 1, max_tokens_limit));
    object.most_max_tokens = static_cast<token_count_t>(
        reader.number("most_max_tokens", 4096, 1, max_tokens_limit));
    object.tokens_per_call = static_cast<token_count_t>(
        reader.number("tokens_per_call", 0, 0, max_tokens_limit));
    object.timeout =
        milliseconds(reader.number("timeout_ms", 60000, 1, max_timeout_ms));
    add(reader, set.services, std::move(object));
}

void load_version(toml_reader& reader, object_set& set)
{
    version object;
    object.name = reader.text("name");
    object.service = reader.text("service");
    add(reader, set.versions, std::move(object));
}

void load_endpoint(toml_reader& reader, object_set& set)
{
    constexpr std::int64_t max_in_flight_limit = 100000;
    endpoint object;
    object.name = reader.text("name");
    object.version = reader.text("version");
    object.zone = reader.text("zone");
    object.address = reader.address("address");
    object.host = reader.text("host", "");
    object.max_in_flight = static_cast<std::uint32_t>(
        reader.number("max_in_flight", 8, 1, max_in_flight_limit));
    object.leaving = reader.flag("leaving", false);
    add(reader, set.endpoints, std::move(object));
}

void load_move(toml_reader& reader, object_set& set)
{
    move object;
    object.name = reader.text("name");
    object.service = reader.text("service");
    object.from = reader.text("from");
    object.to = reader.text("to");
    object.start = reader.time("start");
    object.deadline = reader.time("deadline");
    object.unproved_share = reader.real("unproved_share", 0.05, 0.0001, 0.5);
    object.error_tolerance = reader.real("error_tolerance", 0.02, 0, 1);
    object.slow_tolerance = reader.real("slow_tolerance", 0.5, 0, 100);
    add(reader, set.moves, std::move(object));
}

void load_objective(toml_reader& reader, object_set& set)
{
    objective object;
    object.name = reader.text("name");
    object.customer = reader.text("customer", "");
    object.service = reader.text("service");
    object.availability = reader.real("availability", 0.999, 0, 0.9999999);
    object.first_token =
        milliseconds(reader.number("first_token_ms", 360, 1, max_timeout_ms));
    object.between_tokens =
        milliseconds(reader.number("between_tokens_ms", 54, 1, max_timeout_ms));
    add(reader, set.objectives, std::move(object));
}

struct object_kind
{
    std::string_view key;
    void (*load)(toml_reader&, object_set&);
};

constexpr std::array object_kinds{
    object_kind{"customer", load_customer},
    object_kind{"service", load_service},
    object_kind{"version", load_version},
    object_kind{"endpoint", load_endpoint},
    object_kind{"move", load_move},
    object_kind{"objective", load_objective},
};

const object_kind* find_kind(std::string_view key)
{
    for (const auto& kind : object_kinds)
        if (kind.key == key)
            return &kind;
    return nullptr;
}

void load_objects(const std::string& file, const object_kind& kind,
                  const toml::node& node, object_set& set, problems_t& problems)
{
    const auto* const list = node.as_array();
    const source_location place{file, node.source().begin.line};
    if (list == nullptr)
    {
        problems.push_back(
            {errc::wrong_type, place,
             "must be an array of tables, [[" + std::string(kind.key) + "]]"});
        return;
    }
    for (const auto& item : *list)
    {
        const auto* const table = item.as_table();
        if (table == nullptr)
        {
            problems.push_back(
                {errc::wrong_type, place, "must contain only tables"});
            continue;
        }
        toml_reader reader(*table, file, problems);
        kind.load(reader, set);
    }
}

} // namespace

result<file_texts_t> read_folder(const std::string& folder)
{
    file_texts_t files;
    std::error_code code;
    for (const auto& entry : std::filesystem::directory_iterator(folder, code))
    {
        if (entry.path().extension() != ".toml")
            continue;
        std::ifstream in(entry.path());
        const std::string text(std::istreambuf_iterator<char>(in), {});
        if (!in)
            return failure(errc::unreadable, "read_folder", {},
                           entry.path().string());
        files[entry.path().filename().string()] = text;
    }
    if (code)
        return failure(errc::unreadable, "read_folder", {},
                       folder + ": " + code.message());
    return files;
}

void load_file(const std::string& file, std::string_view text, object_set& set,
               problems_t& problems)
{
    const auto table = parse_toml(file, text, problems);
    if (!table)
        return;
    for (const auto& [key, node] : *table)
    {
        const auto* const kind = find_kind(key.str());
        if (kind != nullptr)
        {
            load_objects(file, *kind, node, set, problems);
            continue;
        }
        const source_location place{file, node.source().begin.line};
        problems.push_back({errc::unknown_key, place,
                            "unknown key \"" + std::string(key.str()) + "\""});
    }
}

object_set load_files(const file_texts_t& files, problems_t& problems)
{
    object_set set;
    for (const auto& [file, text] : files)
        load_file(file, text, set, problems);
    return set;
}

} // namespace rhubarbgrade
