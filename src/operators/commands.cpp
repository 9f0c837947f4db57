#include <rhubarbgrade/detail/operators/commands.hpp>

#include <array>       // array
#include <ostream>     // ostream
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <httplib.h> // Client

#include "command_context.hpp" // command_context

namespace rhubarbgrade
{
namespace
{

constexpr milliseconds call_timeout{5000};

struct command
{
    std::string_view name;
    std::size_t min_arguments; ///< after the name
    command_exit (*run)(const command_context&);
};

constexpr std::array commands{
    command{"check", 1, run_check},
    command{"apply", 1, run_apply},
    command{"get", 0, run_get},
    command{"status", 0, run_status},
    command{"report bills", 1, report_bills},
    command{"report burn", 0, report_burn},
};

} // namespace

object_api make_platform_client(const command_options& options)
{
    return {options.platform, call_timeout};
}

result<published_set> read_published(object_api& api)
{
    const auto object = api.read(manifest_name);
    if (!object && object.error().code == errc::absent)
        return published_set{};
    if (!object)
        return tl::unexpected(object.error());
    const auto document = parse_manifest(object->value);
    if (!document)
        return tl::unexpected(document.error());
    published_set set{object->version, *document, {}, {}};
    for (const auto& part : document->parts)
    {
        const auto text = api.read(part_name(part.digest));
        if (!text)
            return tl::unexpected(text.error());
        set.files[part.file] = text->value;
    }
    problems_t ignored;
    set.objects = load_files(set.files, ignored);
    return set;
}

command_exit fail(const command_context& context, const error& cause)
{
    context.err << cause.message() << '\n';
    return command_exit::failed;
}

result<std::string> read_admin(const std::string& address,
                               const std::string& page)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(call_timeout);
    client.set_read_timeout(call_timeout);
    const auto answer = client.Get(page);
    if (!answer || answer->status != 200)
        return failure(errc::peer_unreachable, "read" + page, address);
    return answer->body;
}

command_exit run_command(const std::vector<std::string>& arguments,
                         const command_options& options, std::ostream& out,
                         std::ostream& err)
{
    const std::string first_word = arguments.empty() ? "" : arguments[0];
    const std::string two_words =
        arguments.size() < 2 ? first_word : first_word + " " + arguments[1];
    for (const auto& entry : commands)
    {
        const bool one_word = entry.name == first_word;
        if (!one_word && entry.name != two_words)
            continue;
        const std::size_t name_words = one_word ? 1 : 2;
        const std::vector<std::string> command_arguments(
            arguments.begin() + static_cast<std::ptrdiff_t>(name_words),
            arguments.end());
        if (command_arguments.size() < entry.min_arguments)
            break;
        return entry.run({command_arguments, options, out, err});
    }
    err << "unknown command or missing argument; see rhubarbgrade --help\n";
    return command_exit::bad_usage;
}

} // namespace rhubarbgrade
