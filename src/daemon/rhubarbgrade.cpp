// Main function of rhubarbgrade, the command line program for operators.

#include <cstdlib>  // getenv
#include <iostream> // cerr, cout
#include <sstream>  // istringstream
#include <string>   // getline, string
#include <vector>   // vector

#include <gflags/gflags.h> // DEFINE_string

#include <rhubarbgrade/rhubarbgrade.hpp> // run_command

DEFINE_string(platform, "127.0.0.1:7000", "\"ip:port\" of the platform");
DEFINE_string(author, "",
              "name recorded as the publisher of a set; default: the login "
              "name");
DEFINE_string(routers, "",
              "admin addresses of routers, \"ip:port\", separated by commas");
DEFINE_string(html, "", "write the burn report to this file as HTML as well");
DEFINE_bool(json, false, "print JSON instead of text");

namespace
{

constexpr const char* usage =
    "publishes configuration and reads back the state of the deployment.\n\n"
    "  rhubarbgrade check FOLDER          check the .toml files of a folder\n"
    "  rhubarbgrade apply FOLDER          publish them as one generation\n"
    "  rhubarbgrade get                   print the set in force\n"
    "  rhubarbgrade status                budgets, moves, hosts and, with\n"
    "                                     --routers, each router's status\n"
    "  rhubarbgrade report bills CUSTOMER [RECORD ...]\n"
    "                                     a customer's bills, compared with\n"
    "                                     endpoints' own records if given\n"
    "  rhubarbgrade report burn           burn of the error budgets; needs\n"
    "                                     --routers\n\n"
    "check needs no network. apply publishes the whole set or nothing.\n\n"
    "Exit codes: 0 done; 1 the platform or a router did not answer; 2 bad\n"
    "usage; 3 the set has faults, all of them listed; 4 another set was\n"
    "published meanwhile, nothing of this one is in force; 5 bills differ\n"
    "from the records or a request has more than one bill.";

std::vector<std::string> split_at_commas(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');)
        items.push_back(item);
    return items;
}

std::string default_author()
{
    const char* const user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    rhubarbgrade::command_options options;
    options.platform = FLAGS_platform;
    options.author = FLAGS_author.empty() ? default_author() : FLAGS_author;
    options.routers = split_at_commas(FLAGS_routers);
    options.html = FLAGS_html;
    options.json = FLAGS_json;
    return static_cast<int>(
        rhubarbgrade::run_command(arguments, options, std::cout, std::cerr));
}
