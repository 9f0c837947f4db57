// The host daemon on the users' platform; the same on every entry host.

#include <csignal>   // sigaddset, sigwait
#include <exception> // exception
#include <fstream>   // ifstream
#include <iostream>  // cerr, cout
#include <iterator>  // istreambuf_iterator
#include <string>    // string
#include <thread>    // thread

#include <spdlog/sinks/stdout_sinks.h> // stdout_logger_mt
#include <spdlog/spdlog.h>             // set_default_logger

#include <platform/boot_settings.hpp> // decode_settings, settings_path

#include "../node/node.hpp" // node

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 1;

bool read_settings(const std::string& path,
                   rhubarbgrade::node_settings& settings)
{
    std::ifstream in(path);
    if (path.empty() || !in)
    {
        std::cerr << "can't read the settings file \"" << path << "\"\n";
        return false;
    }
    const std::string text(std::istreambuf_iterator<char>(in), {});
    auto read = rhubarbgrade::platform::decode_settings(text);
    for (const auto& fault : read.faults)
        std::cerr << path << ": " << fault << '\n';
    settings = std::move(read.settings);
    return read.faults.empty();
}

void stop_at_signal(const sigset_t& signals, rhubarbgrade::node& host)
{
    for (;;)
    {
        int received = 0;
        sigwait(&signals, &received);
        if (received == SIGHUP)
        {
            spdlog::info("settings may have changed; none is taken over "
                         "while running");
            continue;
        }
        spdlog::info("stopping");
        host.stop();
    }
}

} // namespace

int main(int argc, char** argv)
{
    rhubarbgrade::node_settings settings;
    const std::string path =
        argc > 1 ? argv[1] : rhubarbgrade::platform::settings_path();
    if (!read_settings(path, settings))
        return exit_bad_settings;

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_default_logger(spdlog::stdout_logger_mt("node"));
    spdlog::set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","host":")" +
            settings.host + R"(","message":"%v"})",
        spdlog::pattern_time_type::utc);
    try
    {
        rhubarbgrade::node host(std::move(settings));
        host.start();
        const auto ports = host.ports();
        std::cout << "ready " << ports.readiness << "\npeers " << ports.peers
                  << "\nlistening " << ports.callers << std::endl;
        std::thread(
            [&]
            {
                stop_at_signal(signals, host);
            })
            .detach();
        host.run();
        spdlog::info("stopped");
        std::_Exit(0);
    }
    catch (const std::exception& fault)
    {
        spdlog::critical("can't start: {}", fault.what());
        return exit_cannot_start;
    }
}
