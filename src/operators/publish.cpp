#include <ostream> // ostream
#include <string>  // string
#include <vector>  // vector

#include <nlohmann/json.hpp> // json

#include <rhubarbgrade/detail/base/hash.hpp>    // random_hex, sha256_hex
#include <rhubarbgrade/detail/config/check.hpp> // check, check_change

#include "command_context.hpp" // command_context

namespace rhubarbgrade
{
namespace
{

struct loaded_set
{
    file_texts_t files;
    object_set objects;
    problems_t faults;
};

result<loaded_set> load_folder(const std::string& folder)
{
    auto files = read_folder(folder);
    if (!files)
        return tl::unexpected(files.error());
    loaded_set set{std::move(*files), {}, {}};
    set.objects = load_files(set.files, set.faults);
    check(set.objects, set.faults);
    return set;
}

command_exit print_faults(const command_context& context,
                          const problems_t& faults)
{
    for (const auto& fault : faults)
        context.err << fault.message() << '\n';
    context.err << faults.size() << " fault(s); nothing was published\n";
    return command_exit::faulty;
}

result<void> store_parts(object_api& api, const loaded_set& set,
                         manifest& document)
{
    for (const auto& [file, text] : set.files)
    {
        const auto digest = sha256_hex(text);
        const auto created = api.create(part_name(digest), text);
        // A part is named by the digest of its content, so an existing one is
        // the same.
        if (!created && created.error().code != errc::conflict &&
            !api.read(part_name(digest)))
            return tl::unexpected(created.error());
        document.parts.push_back({file, digest});
    }
    return {};
}

command_exit report_conflict(const command_context& context, object_api& api)
{
    const auto current = read_published(api);
    context.err << "another set was published meanwhile";
    if (current)
        context.err << ": generation " << current->document.generation << " by "
                    << current->document.author;
    context.err << "; nothing of this set is in force\n";
    return command_exit::lost_race;
}

/// Whether the stored manifest is the one that this command wrote. A write that
/// ended with an error may have been carried out all the same.
bool is_published(object_api& api, const std::string& text)
{
    const auto object = api.read(manifest_name);
    return object && object->value == text;
}

} // namespace

command_exit run_check(const command_context& context)
{
    const auto set = load_folder(context.arguments[0]);
    if (!set)
        return fail(context, set.error());
    if (!set->faults.empty())
        return print_faults(context, set->faults);
    context.out << "no fault in " << set->files.size()
                << " file(s): " << set->objects.customers.size()
                << " customers, " << set->objects.services.size()
                << " services, " << set->objects.endpoints.size()
                << " endpoints, " << set->objects.moves.size() << " moves\n";
    return command_exit::done;
}

command_exit run_apply(const command_context& context)
{
    auto set = load_folder(context.arguments[0]);
    if (!set)
        return fail(context, set.error());
    auto api = make_platform_client(context.options);
    const auto previous = read_published(api);
    if (!previous)
        return fail(context, previous.error());
    check_change(previous->objects, set->objects, set->faults);
    if (!set->faults.empty())
        return print_faults(context, set->faults);
    manifest document{previous->document.generation + 1,
                      context.options.author,
                      random_hex(),
                      {}};
    const auto stored = store_parts(api, *set, document);
    if (!stored)
        return fail(context, stored.error());
    const auto text = to_text(document);
    const auto written = api.update(manifest_name, text, previous->version);
    if (!written && !is_published(api, text))
    {
        if (written.error().code == errc::conflict)
            return report_conflict(context, api);
        return fail(context, written.error());
    }
    if (context.options.json)
        context.out << nlohmann::json{{"generation", document.generation}}
                    << '\n';
    else
        context.out << "published generation " << document.generation << '\n';
    return command_exit::done;
}

command_exit run_get(const command_context& context)
{
    auto api = make_platform_client(context.options);
    const auto set = read_published(api);
    if (!set)
        return fail(context, set.error());
    if (context.options.json)
    {
        context.out << nlohmann::json{{"generation", set->document.generation},
                                      {"author", set->document.author},
                                      {"files", set->files}}
                           .dump()
                    << '\n';
        return command_exit::done;
    }
    context.out << "# generation " << set->document.generation << " by "
                << set->document.author << '\n';
    for (const auto& [file, text] : set->files)
        context.out << "# file " << file << '\n' << text;
    return command_exit::done;
}

} // namespace rhubarbgrade
