// Main function of rhubarbgraded, the router daemon that runs on every host to
// which callers connect.

#include <csignal>   // sigaddset, sigwait
#include <exception> // exception
#include <fstream>   // ifstream
#include <iostream>  // cerr, cout
#include <iterator>  // istreambuf_iterator
#include <string>    // string

#include <gflags/gflags.h>                   // DEFINE_string
#include <spdlog/sinks/stdout_color_sinks.h> // stderr_color_mt
#include <spdlog/spdlog.h>                   // logger

#include <rhubarbgrade/rhubarbgrade.hpp> // load_settings, router

DEFINE_string(settings, "", "path of the settings file (TOML)");
DEFINE_int32(notice_ms, 500,
             "time between failing /readyz and refusing connections when "
             "leaving, milliseconds");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 1;

constexpr const char* usage =
    "routes model and service requests of prepaid customers.\n\n"
    "  rhubarbgraded --settings FILE [--check]\n\n"
    "Configuration objects come from the platform; publish them with\n"
    "rhubarbgrade apply. SIGTERM and SIGINT begin a graceful shutdown: no\n"
    "request in flight is cut.\n\n"
    "Exit codes: 0 after a graceful shutdown, 1 if it could not start, 2 if\n"
    "the settings are faulty (every fault is listed with its line).";

bool read_settings(rhubarbgrade::settings& parsed)
{
    std::ifstream in(FLAGS_settings);
    if (FLAGS_settings.empty() || !in)
    {
        std::cerr << "can't read the settings file \"" << FLAGS_settings
                  << "\"\n";
        return false;
    }
    const std::string text(std::istreambuf_iterator<char>(in), {});
    rhubarbgrade::problems_t faults;
    parsed = rhubarbgrade::load_settings(FLAGS_settings, text, faults);
    for (const auto& fault : faults)
        std::cerr << fault.message() << '\n';
    return faults.empty();
}

void wait_for_signal(const sigset_t& signals)
{
    int signal_number = 0;
    sigwait(&signals, &signal_number);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    rhubarbgrade::settings parsed;
    if (!read_settings(parsed))
        return exit_bad_settings;
    if (FLAGS_check)
        return 0;

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto log = spdlog::stderr_color_mt("rhubarbgraded");
    log->set_level(spdlog::level::from_str(parsed.log_level));
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l host=" + parsed.host +
                         " zone=" + parsed.zone + " %v",
                     spdlog::pattern_time_type::utc);
    try
    {
        rhubarbgrade::router daemon(parsed, log);
        std::cout << "rpc " << daemon.rpc_port() << "\nadmin "
                  << daemon.admin_port() << "\nlistening " << daemon.port()
                  << std::endl;
        wait_for_signal(signals);
        daemon.leave(rhubarbgrade::milliseconds(FLAGS_notice_ms));
    }
    catch (const std::exception& problem)
    {
        log->critical("event=cannot_start reason=\"{}\"", problem.what());
        return exit_cannot_start;
    }
    return 0;
}
