// The host daemon on the users' platform; the same on every entry host.

#include <csignal>   // sigaddset, sigtimedwait
#include <exception> // exception
#include <fstream>   // ifstream
#include <iostream>  // cerr, cout
#include <iterator>  // istreambuf_iterator
#include <string>    // string
#include <thread>    // thread
#include <utility>   // move

#include <spdlog/sinks/stdout_sinks.h> // stdout_logger_mt
#include <spdlog/spdlog.h>             // set_default_logger

#include <platform/boot_settings.hpp> // decode_settings, settings_path

#include "../node/node.hpp" // node

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 1;

/// Pause between two looks at the settings file, seconds: it may change
/// without a signal, and no bound says how soon a change has to be in force.
constexpr time_t look_pause_s = 2;

std::string text_of(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// The settings in a file, as they are and as they were last read.
class settings_file
{
public:
    explicit settings_file(std::string path)
        : m_path(std::move(path)), m_text(text_of(m_path))
    {
    }

    const std::string& path() const
    {
        return m_path;
    }

    bool readable() const
    {
        return !m_text.empty();
    }

    rhubarbgrade::platform::boot_settings decoded() const
    {
        return rhubarbgrade::platform::decode_settings(m_text);
    }

    /// Reads the file again. @return whether it has changed
    bool refresh()
    {
        auto text = text_of(m_path);
        if (text.empty() || text == m_text)
            return false;
        m_text = std::move(text);
        return true;
    }

private:
    std::string m_path;
    std::string m_text;
};

void take_changes(settings_file& file,
                  const rhubarbgrade::node_settings& at_start,
                  rhubarbgrade::node& host)
{
    if (!file.refresh())
        return;
    const auto read = file.decoded();
    for (const auto& fault : read.faults)
        spdlog::error("changed settings kept out: {}", fault);
    if (!read.faults.empty())
        return;
    host.set_bounds(read.settings.bounds);
    spdlog::info("changed bounds are in force");
    auto rest = read.settings;
    rest.bounds = at_start.bounds;
    if (rest != at_start)
        spdlog::warn("changed names, addresses or limits of the settings need "
                     "a restart");
}

void obey_signals(const sigset_t& signals, settings_file& file,
                  const rhubarbgrade::node_settings& at_start,
                  rhubarbgrade::node& host)
{
    const timespec pause{look_pause_s, 0};
    for (;;)
    {
        const int received = sigtimedwait(&signals, nullptr, &pause);
        if (received == SIGTERM || received == SIGINT)
        {
            spdlog::info("stopping");
            host.stop();
        }
        else
            take_changes(file, at_start, host);
    }
}

} // namespace

int main(int argc, char** argv)
{
    settings_file file(argc > 1 ? argv[1]
                                : rhubarbgrade::platform::settings_path());
    if (!file.readable())
    {
        std::cerr << "can't read the settings file \"" << file.path() << "\"\n";
        return exit_bad_settings;
    }
    const auto read = file.decoded();
    for (const auto& fault : read.faults)
        std::cerr << file.path() << ": " << fault << '\n';
    if (!read.faults.empty())
        return exit_bad_settings;
    const auto& settings = read.settings;

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_default_logger(spdlog::stdout_logger_mt("node"));
    // A line each decision of the control thread, so that none waits for the
    // next ones to fill a buffer.
    spdlog::flush_on(spdlog::level::info);
    spdlog::set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","host":")" +
            settings.host + R"(","message":"%v"})",
        spdlog::pattern_time_type::utc);
    try
    {
        rhubarbgrade::node host(settings);
        host.start();
        const auto ports = host.ports();
        std::cout << "ready " << ports.readiness << "\npeers " << ports.peers
                  << "\nlistening " << ports.callers << std::endl;
        std::thread(
            [&]
            {
                obey_signals(signals, file, settings, host);
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
