#pragma once

#include <iosfwd> // ostream
#include <map>    // map
#include <string> // string
#include <vector> // vector

#include <rhubarbgrade/detail/base/error.hpp>          // result
#include <rhubarbgrade/detail/config/load.hpp>         // file_texts_t
#include <rhubarbgrade/detail/config/manifest.hpp>     // manifest
#include <rhubarbgrade/detail/config/objects.hpp>      // object_set
#include <rhubarbgrade/detail/operators/commands.hpp>  // command_options
#include <rhubarbgrade/detail/platform/object_api.hpp> // object_api

namespace rhubarbgrade
{

/// @brief Arguments, options and output streams of one command.
struct command_context
{
    const std::vector<std::string>& arguments; ///< without the command's name
    const command_options& options;
    std::ostream& out;
    std::ostream& err;
};

/// @brief A published configuration set as read from the platform.
struct published_set
{
    std::uint64_t version = 0; ///< of the manifest object; 0: none published
    manifest document;
    file_texts_t files;
    object_set objects;
};

/// @brief Creates a client of the platform with a time-out of 5 s a call, for
///        interactive use.
object_api make_platform_client(const command_options& options);

/// @brief Reads the published configuration set; it is empty before the first
///        publication.
result<published_set> read_published(object_api& api);

/// @brief Prints an error.
/// @return command_exit::failed
command_exit fail(const command_context& context, const error& cause);

/// @brief Reads a page of a router's admin server.
result<std::string> read_admin(const std::string& address,
                               const std::string& page);

// The commands; see the usage text of the program.
command_exit run_check(const command_context& context);
command_exit run_apply(const command_context& context);
command_exit run_get(const command_context& context);
command_exit run_status(const command_context& context);
command_exit report_bills(const command_context& context);
command_exit report_burn(const command_context& context);

} // namespace rhubarbgrade
