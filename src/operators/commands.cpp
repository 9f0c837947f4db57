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
    std::size_t arguments; ///< at least so many after the name
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

object_api open_platform(const command_options& options)
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

command_exit fail(const command_context& context, const error& what)
{
    context.err << what.message() << '\n';
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

command_exit run_command(const std::vector<std::string>& words,
                         const command_options& options, std::ostream& out,
                         std::ostream& err)
{
    const std::string first = words.empty() ? "" : words[0];
    const std::string two = words.size() < 2 ? first : first + " " + words[1];
    for (const auto& entry : commands)
    {
        const bool one_word = entry.name == first;
        if (!one_word && entry.name != two)
            continue;
        const std::size_t used = one_word ? 1 : 2;
        const std::vector<std::string> rest(
            words.begin() + static_cast<std::ptrdiff_t>(used), words.end());
        if (rest.size() < entry.arguments)
            break;
        return entry.run({rest, options, out, err});
    }
    err << "unknown command or missing argument; see rhubarbgrade --help\n";
    return command_exit::bad_usage;
}

} // namespace rhubarbgrade
