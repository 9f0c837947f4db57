// TCP fault proxy: forwards connections to a port on loopback and injects
// faults.
//
// Prints "control PORT" and "listening PORT". The control port serves:
//
//   PUT /target   the port on loopback that new connections are forwarded to
//   PUT /fault    {mode, delay_ms}; the delay precedes each forwarded block
//     pass        forward bytes in both directions
//     cut         close all connections, and new ones once they are accepted
//     silent      keep connections open, forward nothing in either direction
//     silent_up   forward nothing to the target, but forward its responses
//     hang        existing connections forward nothing, new ones don't open
//     refuse      close all connections, and refuse new ones
//     refuse_new  existing connections work, new ones are refused
//     stale       existing connections forward nothing more, new ones work
//     lose_post   the next connection that sends a POST forwards nothing from
//                 that POST on; all other connections work

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace
{

struct fault_state
{
    std::mutex mutex;
    std::condition_variable changed;
    std::string mode = "pass";
    std::chrono::milliseconds delay{0};
    /// Connections with a lower number forward nothing, set by "stale".
    std::uint64_t first_fresh_connection = 0;
    std::uint64_t next_connection = 0;
    /// Connection that "lose_post" has silenced.
    std::optional<std::uint64_t> silenced_connection;
    int target_port = 0; ///< on loopback
};

/// Whether a mode closes the connections that are open.
bool closes_connections(const std::string& mode)
{
    return mode == "cut" || mode == "refuse";
}

/// Whether a mode lets no connection open.
bool opens_none(const std::string& mode)
{
    return mode == "hang" || mode == "refuse" || mode == "refuse_new";
}

// Applies the delay, then waits while the connection is silent. Returns false
// if the mode closes connections.
bool wait_to_forward(fault_state& state, std::uint64_t connection,
                     bool to_target)
{
    std::unique_lock lock(state.mutex);
    state.changed.wait_for(lock, state.delay,
                           []
                           {
                               return false;
                           });
    state.changed.wait(lock,
                       [&]
                       {
                           const bool silent =
                               state.mode == "silent" || state.mode == "hang" ||
                               (state.mode == "silent_up" && to_target) ||
                               state.silenced_connection == connection ||
                               connection < state.first_fresh_connection;
                           return !silent || closes_connections(state.mode);
                       });
    return !closes_connections(state.mode);
}

// Silences the connection if "lose_post" is set and the bytes start a POST.
void apply_lose_post(fault_state& state, std::string_view bytes,
                     std::uint64_t connection)
{
    const std::lock_guard lock(state.mutex);
    if (state.mode != "lose_post" || !bytes.starts_with("POST "))
        return;
    state.silenced_connection = connection;
    state.mode = "pass";
}

// Forwards bytes in one direction until either socket is closed.
void pump(fault_state& state, int from, int to, std::uint64_t connection,
          bool to_target)
{
    std::array<char, 16384> buffer{};
    for (;;)
    {
        const auto count = ::recv(from, buffer.data(), buffer.size(), 0);
        if (count > 0 && to_target)
            apply_lose_post(state,
                            {buffer.data(), static_cast<std::size_t>(count)},
                            connection);
        if (count <= 0 || !wait_to_forward(state, connection, to_target))
            break;
        if (::send(to, buffer.data(), count, MSG_NOSIGNAL) != count)
            break;
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

// Forwards a connection in both directions until it is closed.
void forward_connection(fault_state& state, int client_socket,
                        std::uint64_t connection)
{
    const int target_socket = ::socket(AF_INET, SOCK_STREAM, 0);
    state.mutex.lock();
    const auto address = loopback(state.target_port);
    state.mutex.unlock();
    const int enabled = 1;
    ::setsockopt(client_socket, IPPROTO_TCP, TCP_NODELAY, &enabled,
                 sizeof enabled);
    ::setsockopt(target_socket, IPPROTO_TCP, TCP_NODELAY, &enabled,
                 sizeof enabled);
    if (::connect(target_socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0)
    {
        std::thread to_target_thread(
            [&]
            {
                pump(state, client_socket, target_socket, connection, true);
            });
        pump(state, target_socket, client_socket, connection, false);
        to_target_thread.join();
    }
    // close() alone would leave the connection open, because close_on_cut holds
    // a duplicate of the descriptor.
    ::shutdown(client_socket, SHUT_RDWR);
    ::close(client_socket);
    ::close(target_socket);
}

// Shuts the connection down as soon as the mode closes connections. The pumps
// alone would only notice the mode after their next read.
void close_on_cut(fault_state& state, int client_socket,
                  std::uint64_t connection)
{
    std::unique_lock lock(state.mutex);
    state.changed.wait(lock,
                       [&]
                       {
                           return closes_connections(state.mode);
                       });
    static_cast<void>(connection);
    ::shutdown(client_socket, SHUT_RDWR);
}

/// The listening socket, which can stop to let connections open.
class door
{
public:
    explicit door(int listener) : m_listener(listener)
    {
        open();
    }

    void apply(const std::string& mode)
    {
        for (const int each : m_fillers)
            ::close(each);
        m_fillers.clear();
        if (mode == "hang")
            fill();
        else if (opens_none(mode))
            ::shutdown(m_listener, SHUT_RDWR);
        else
            open();
    }

private:
    void open() const
    {
        constexpr int backlog = 512;
        ::listen(m_listener, backlog);
    }

    /// Fills the queue of new connections, so that the kernel drops further
    /// ones.
    void fill()
    {
        constexpr int fillers = 8;
        ::listen(m_listener, 0);
        sockaddr_in address{};
        socklen_t length = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address),
                      &length);
        for (int i = 0; i < fillers; ++i)
        {
            m_fillers.push_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            ::connect(m_fillers.back(), reinterpret_cast<sockaddr*>(&address),
                      length);
        }
    }

    int m_listener;
    std::vector<int> m_fillers;
};

/// A socket that is bound to a port that the kernel chose, and keeps the port
/// while it does not listen.
int bind_listener()
{
    int port = 0;
    for (;;)
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int enabled = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled,
                     sizeof enabled);
        auto address = loopback(port);
        socklen_t length = sizeof address;
        if (::bind(listener, reinterpret_cast<sockaddr*>(&address), length) !=
            0)
        {
            ::close(listener);
            port = 0;
            continue;
        }
        if (port != 0)
            return listener;
        ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
        port = ntohs(address.sin_port);
        ::close(listener);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fault_state state;
    const int listener = bind_listener();
    door entrance(listener);
    sockaddr_in address{};
    socklen_t length = sizeof address;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    httplib::Server control;
    control.Put("/fault",
                [&](const httplib::Request& request, httplib::Response&)
                {
                    const auto requested = nlohmann::json::parse(request.body);
                    const std::lock_guard lock(state.mutex);
                    state.mode = requested.value("mode", "pass");
                    entrance.apply(state.mode);
                    state.delay = std::chrono::milliseconds(
                        requested.value("delay_ms", 0));
                    if (state.mode == "stale")
                        state.first_fresh_connection = state.next_connection;
                    state.changed.notify_all();
                });
    control.Put("/target",
                [&](const httplib::Request& request, httplib::Response&)
                {
                    const std::lock_guard lock(state.mutex);
                    state.target_port = std::stoi(request.body);
                });
    const int control_port = control.bind_to_any_port("127.0.0.1");
    std::thread(
        [&]
        {
            control.listen_after_bind();
        })
        .detach();
    std::cout << "control " << control_port << "\n"
              << "listening " << ntohs(address.sin_port) << std::endl;
    for (;;)
    {
        std::unique_lock lock(state.mutex);
        state.changed.wait(lock,
                           [&]
                           {
                               return !opens_none(state.mode);
                           });
        lock.unlock();
        const int client_socket = ::accept(listener, nullptr, nullptr);
        if (client_socket < 0)
            continue;
        lock.lock();
        if (state.mode == "cut")
        {
            ::close(client_socket);
            continue;
        }
        const auto connection = state.next_connection++;
        lock.unlock();
        std::thread(
            [&state, client_socket, connection]
            {
                forward_connection(state, client_socket, connection);
            })
            .detach();
        std::thread(
            [&state, duplicate_socket = ::dup(client_socket), connection]
            {
                close_on_cut(state, duplicate_socket, connection);
            })
            .detach();
    }
}
