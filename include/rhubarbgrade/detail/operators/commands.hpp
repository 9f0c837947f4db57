#pragma once

#include <iosfwd> // ostream
#include <string> // string
#include <vector> // vector

namespace rhubarbgrade
{

/// @brief Options of the operator program.
struct command_options
{
    std::string platform;             ///< "ip:port" of the platform
    std::string author;               ///< recorded with a published set
    std::vector<std::string> routers; ///< admin addresses, "ip:port"
    std::string html;                 ///< file for an HTML report, or empty
    bool json = false;                ///< JSON output instead of a table
};

/// @brief Exit codes of the operator program.
enum class command_exit
{
    done = 0,
    failed = 1,    ///< the platform or a router did not answer
    bad_usage = 2, ///< unknown command, missing argument
    faulty = 3,    ///< the set has faults; all are listed
    lost_race = 4, ///< another set was published meanwhile
    mismatch = 5,  ///< bills differ from the endpoints' records, or a request
                   ///< has more than one bill
};

/// @brief Runs one command of the operator program.
/// @param[in] arguments  the command and its arguments
/// @param[in] options    flags of the command line
/// @param[out] out       results
/// @param[out] err       faults of a set, and errors
command_exit run_command(const std::vector<std::string>& arguments,
                         const command_options& options, std::ostream& out,
                         std::ostream& err);

} // namespace rhubarbgrade
