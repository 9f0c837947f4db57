#pragma once

#include <sys/types.h> // pid_t

#include <map>    // map
#include <string> // string
#include <thread> // thread
#include <vector> // vector

namespace harness
{

/// A child process that reports its ports on standard output, as lines "NAME
/// PORT" with "listening PORT" last. Its further output and its standard error
/// go to a log file.
class process
{
public:
    /// Returns once the ports are reported; throws std::runtime_error if the
    /// program does not start or does not report them.
    process(const std::vector<std::string>& command, const std::string& log);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// The port reported under a name.
    int port(const std::string& name = "listening") const;

    void signal(int number) const;

    /// Sends SIGKILL and waits for the exit, to simulate a host that crashes.
    void kill();

    /// Waits until the process exits. Returns its exit status, 128 if a signal
    /// ended it, or -1 if the deadline passes first.
    int wait_exit(int deadline_ms = 20000);

    /// Whether the process runs; collects its exit status if it has ended.
    bool running();

    pid_t pid() const
    {
        return m_pid;
    }

private:
    void read_ports(int output_fd);
    static void copy_output_to_log(int output_fd, const std::string& log);

    pid_t m_pid = -1;
    int m_exit_status = -1;
    std::thread m_reader;
    std::map<std::string, int> m_ports;
};

} // namespace harness
