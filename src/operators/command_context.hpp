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

/// @brief What each command works with.
struct command_context
{
    const std::vector<std::string>& words;
    const command_options& options;
    std::ostream& out;
    std::ostream& err;
};

/// @brief A published set as read from the platform.
struct published_set
{
    std::uint64_t version = 0; ///< of the manifest object, 0: none yet
    manifest document;
    file_texts_t files;
    object_set objects;
};

/// @brief Opens the platform; time limits suit a program that people wait for.
object_api open_platform(const command_options& options);

/// @brief Reads the set in force.
result<published_set> read_published(object_api& api);

/// @brief Prints an error and gives the exit code for it.
command_exit fail(const command_context& context, const error& what);

/// @brief Reads a page of a router's admin server.
result<std::string> read_admin(const std::string& address,
                               const std::string& page);

command_exit run_check(const command_context& context);
command_exit run_apply(const command_context& context);
command_exit run_get(const command_context& context);
command_exit run_status(const command_context& context);
command_exit report_bills(const command_context& context);
command_exit report_burn(const command_context& context);

} // namespace rhubarbgrade
