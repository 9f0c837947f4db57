#pragma once

#include <sys/types.h> // pid_t

#include <map>    // map
#include <string> // string
#include <thread> // thread
#include <vector> // vector

namespace harness
{

/// A child process that prints "NAME PORT" lines, "listening PORT" last.
class process
{
public:
    process(const std::vector<std::string>& command, const std::string& log);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// The port printed under a name.
    int port(const std::string& name = "listening") const;

    void signal(int number) const;

    /// Ends it at once, as a host that dies.
    void kill();

    /// Waits for its own end; -1 if the deadline passes.
    int wait_exit(int deadline_ms = 20000);

    bool running();

    pid_t pid() const
    {
        return m_pid;
    }

private:
    void read_ports(int from);
    static void keep_output(int from, const std::string& log);

    pid_t m_pid = -1;
    int m_exit = -1;
    std::thread m_reader;
    std::map<std::string, int> m_ports;
};

} // namespace harness
