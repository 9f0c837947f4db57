#include "process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "until.hpp"

extern char** environ;

namespace harness
{

process::process(const std::vector<std::string>& command,
                 const std::string& log)
{
    std::array<int, 2> pipe{};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<char*> arguments;
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    const int spawn_error = ::posix_spawn(&m_pid, arguments[0], &actions,
                                          nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    if (spawn_error == 0)
        read_ports(pipe[0]);
    if (spawn_error != 0 || m_ports.count("listening") == 0)
    {
        ::close(pipe[0]);
        throw std::runtime_error("program did not start or report its ports: " +
                                 command[0]);
    }
    m_reader = std::thread(
        [output_fd = pipe[0], log]
        {
            copy_output_to_log(output_fd, log);
        });
}

/// Appends the output that follows the ports to the log, until the process
/// ends.
void process::copy_output_to_log(int output_fd, const std::string& log)
{
    std::ofstream out(log, std::ios::app);
    std::array<char, 4096> buffer{};
    for (;;)
    {
        const auto count = ::read(output_fd, buffer.data(), buffer.size());
        if (count <= 0)
            break;
        out.write(buffer.data(), count).flush();
    }
    ::close(output_fd);
}

void process::read_ports(int output_fd)
{
    constexpr int deadline_ms = 20000;
    std::string text;
    std::array<char, 512> buffer{};
    while (m_ports.count("listening") == 0)
    {
        pollfd entry{output_fd, POLLIN, 0};
        if (::poll(&entry, 1, deadline_ms) <= 0)
            return;
        const auto count = ::read(output_fd, buffer.data(), buffer.size());
        if (count <= 0)
            return;
        text.append(buffer.data(), static_cast<std::size_t>(count));
        if (text.back() != '\n')
            continue;
        std::istringstream in(text);
        std::string name;
        for (int number = 0; in >> name >> number;)
            m_ports[name] = number;
    }
}

process::~process()
{
    if (m_pid > 0 && m_exit_status < 0)
    {
        signal(SIGCONT);
        kill();
    }
    if (m_reader.joinable())
        m_reader.join();
}

int process::port(const std::string& name) const
{
    return m_ports.at(name);
}

void process::signal(int number) const
{
    if (m_exit_status < 0)
        ::kill(m_pid, number);
}

void process::kill()
{
    signal(SIGKILL);
    wait_exit();
}

bool process::running()
{
    int status = 0;
    if (m_exit_status < 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    return m_exit_status < 0;
}

int process::wait_exit(int deadline_ms)
{
    wait_until(
        [this]
        {
            return !running();
        },
        deadline_ms);
    return m_exit_status;
}

} // namespace harness
