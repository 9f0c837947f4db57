// Main function of rhubarbgrade_node, the proxy daemon that runs on every host
// of the fleet. Settings, configuration and endpoints come from the platform
// that manages the hosts.

#include <charconv>     // from_chars
#include <csignal>      // sigaddset, sigtimedwait
#include <cstddef>      // size_t
#include <exception>    // exception
#include <fstream>      // ifstream
#include <iostream>     // cerr, cout
#include <iterator>     // istreambuf_iterator
#include <optional>     // optional
#include <span>         // span
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // errc
#include <thread>       // thread
#include <utility>      // move

#include <spdlog/sinks/stdout_sinks.h> // stdout_logger_mt
#include <spdlog/spdlog.h>             // set_default_logger

#include <platform/boot_settings.hpp> // decode_settings, settings_path

#include "../node/json_log.hpp" // make_json_formatter
#include "../node/node.hpp"     // node

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 1;

/// Interval at which the settings file is checked for changes. The file may
/// change without a signal, and no requirement says how soon a change has to
/// be in force.
constexpr time_t settings_poll_s = 2;

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// The command line: [--hedge-share SHARE] [SETTINGS]
struct command_line
{
    std::string settings_path = rhubarbgrade::platform::settings_path();
    std::optional<double> hedge_share; ///< goes before the settings file
};

/// @return empty if the command line is malformed
std::optional<command_line> parse_command_line(std::span<char*> words)
{
    command_line parsed;
    for (std::size_t i = 1; i < words.size(); ++i)
    {
        const std::string_view word = words[i];
        if (!word.starts_with("--"))
        {
            parsed.settings_path = word;
            continue;
        }
        if (word != "--hedge-share" || i + 1 == words.size())
            return std::nullopt;
        const std::string_view value = words[++i];
        double share = 0;
        const auto* end = value.data() + value.size();
        const auto [parsed_end, fault] =
            std::from_chars(value.data(), end, share);
        if (fault != std::errc() || parsed_end != end ||
            !(share >= 0 && share <= 1))
            return std::nullopt;
        parsed.hedge_share = share;
    }
    return parsed;
}

/// A settings file and its text when it was last read.
class settings_file
{
public:
    explicit settings_file(command_line line)
        : m_path(std::move(line.settings_path)),
          m_hedge_share(line.hedge_share),
          m_text(read_file(m_path))
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
        auto boot = rhubarbgrade::platform::decode_settings(m_text);
        if (m_hedge_share)
            boot.hedging.share = *m_hedge_share;
        return boot;
    }

    /// Reads the file again; an empty or unreadable file counts as unchanged.
    /// @return whether the text has changed
    bool refresh()
    {
        auto text = read_file(m_path);
        if (text.empty() || text == m_text)
            return false;
        m_text = std::move(text);
        return true;
    }

private:
    std::string m_path;
    std::optional<double> m_hedge_share;
    std::string m_text;
};

/// Applies changed bounds. Changes of other settings are only logged, since
/// they need a restart.
void apply_changes(settings_file& file,
                   const rhubarbgrade::node_settings& initial_settings,
                   rhubarbgrade::node& host)
{
    if (!file.refresh())
        return;
    const auto boot = file.decoded();
    for (const auto& fault : boot.faults)
        spdlog::error("changed settings rejected: {}", fault);
    if (!boot.faults.empty())
        return;
    host.set_bounds(boot.settings.bounds);
    spdlog::info("changed bounds are in force");
    auto other_settings = boot.settings;
    other_settings.bounds = initial_settings.bounds;
    if (other_settings != initial_settings)
        spdlog::warn("changed names, addresses or limits in the settings take "
                     "effect after a restart only");
}

/// Handles signals until the program exits: SIGTERM and SIGINT begin the
/// shutdown; SIGHUP and the end of an interval check the settings file.
void handle_signals(const sigset_t& signals, settings_file& file,
                    const rhubarbgrade::node_settings& initial_settings,
                    rhubarbgrade::node& host)
{
    const timespec poll_interval{settings_poll_s, 0};
    for (;;)
    {
        const int signal_number =
            sigtimedwait(&signals, nullptr, &poll_interval);
        if (signal_number == SIGTERM || signal_number == SIGINT)
        {
            spdlog::info("stopping");
            host.stop();
        }
        else
            apply_changes(file, initial_settings, host);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto line =
        parse_command_line({argv, static_cast<std::size_t>(argc)});
    if (!line)
    {
        std::cerr << "usage: " << argv[0]
                  << " [--hedge-share SHARE] [SETTINGS]\n"
                     "SHARE: second attempts for late answers, for each "
                     "request that may be repeated; 0 to 1\n";
        return exit_bad_settings;
    }
    settings_file file(*line);
    if (!file.readable())
    {
        std::cerr << "can't read the settings file \"" << file.path() << "\"\n";
        return exit_bad_settings;
    }
    const auto boot = file.decoded();
    for (const auto& fault : boot.faults)
        std::cerr << file.path() << ": " << fault << '\n';
    if (!boot.faults.empty())
        return exit_bad_settings;
    const auto& settings = boot.settings;

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_default_logger(spdlog::stdout_logger_mt("node"));
    // The control thread logs one line for each decision; without the flush a
    // line would wait in the buffer until later ones fill it.
    spdlog::flush_on(spdlog::level::info);
    spdlog::set_formatter(rhubarbgrade::make_json_formatter(settings.host));
    try
    {
        rhubarbgrade::node host(settings, boot.hedging);
        host.start();
        const auto ports = host.ports();
        std::cout << "ready " << ports.readiness << "\npeers " << ports.peers
                  << "\nlistening " << ports.callers << std::endl;
        std::thread(
            [&]
            {
                handle_signals(signals, file, settings, host);
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
