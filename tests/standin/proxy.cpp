// TCP fault proxy: carries connections to one address and can be told to fail.
//
//   PUT /target on the control port: the port on loopback to carry to
//   PUT /fault on the control port: {mode, delay_ms}
//     pass      carry bytes both ways
//     cut       close every connection and refuse new ones
//     silent    keep connections open and carry nothing, either way
//     silent_up carry nothing towards the address, carry answers
//     stale     connections open now go silent for good, new ones work
//     lose_post the next connection that carries a POST goes silent for good
//               before its first byte is passed on, all others work

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
    std::uint64_t stale_below = 0;
    std::uint64_t next_connection = 0;
    std::optional<std::uint64_t> lost; ///< by "lose_post"
    int target = 0;                    ///< port on loopback
};

// Returns whether bytes may pass now; waits while the connection is silent.
bool may_pass(fault_state& state, std::uint64_t connection, bool up)
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
                               state.mode == "silent" ||
                               (state.mode == "silent_up" && up) ||
                               state.lost == connection ||
                               connection < state.stale_below;
                           return !silent || state.mode == "cut";
                       });
    return state.mode != "cut";
}

void lose_post(fault_state& state, std::string_view bytes,
               std::uint64_t connection)
{
    const std::lock_guard lock(state.mutex);
    if (state.mode != "lose_post" || !bytes.starts_with("POST "))
        return;
    state.lost = connection;
    state.mode = "pass";
}

void pump(fault_state& state, int from, int to, std::uint64_t connection,
          bool up)
{
    std::array<char, 16384> buffer{};
    for (;;)
    {
        const auto count = ::recv(from, buffer.data(), buffer.size(), 0);
        if (count > 0 && up)
            lose_post(state, {buffer.data(), static_cast<std::size_t>(count)},
                      connection);
        if (count <= 0 || !may_pass(state, connection, up))
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

void carry(fault_state& state, int caller, std::uint64_t connection)
{
    const int target = ::socket(AF_INET, SOCK_STREAM, 0);
    state.mutex.lock();
    const auto address = loopback(state.target);
    state.mutex.unlock();
    const int on = 1;
    ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(target, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0)
    {
        std::thread up(
            [&]
            {
                pump(state, caller, target, connection, true);
            });
        pump(state, target, caller, connection, false);
        up.join();
    }
    // The watcher for cuts holds another descriptor of the caller's socket.
    ::shutdown(caller, SHUT_RDWR);
    ::close(caller);
    ::close(target);
}

// Closes what is open when the mode becomes "cut": shut by each pump's next
// read, so a watcher shuts the sockets at once.
void close_on_cut(fault_state& state, int caller, std::uint64_t connection)
{
    std::unique_lock lock(state.mutex);
    state.changed.wait(lock,
                       [&]
                       {
                           return state.mode == "cut";
                       });
    static_cast<void>(connection);
    ::shutdown(caller, SHUT_RDWR);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fault_state state;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener, 512) != 0)
        return 1;
    socklen_t length = sizeof address;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    httplib::Server control;
    control.Put("/fault",
                [&](const httplib::Request& request, httplib::Response&)
                {
                    const auto wanted = nlohmann::json::parse(request.body);
                    const std::lock_guard lock(state.mutex);
                    state.mode = wanted.value("mode", "pass");
                    state.delay =
                        std::chrono::milliseconds(wanted.value("delay_ms", 0));
                    if (state.mode == "stale")
                        state.stale_below = state.next_connection;
                    state.changed.notify_all();
                });
    control.Put("/target",
                [&](const httplib::Request& request, httplib::Response&)
                {
                    const std::lock_guard lock(state.mutex);
                    state.target = std::stoi(request.body);
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
        const int caller = ::accept(listener, nullptr, nullptr);
        if (caller < 0)
            continue;
        std::unique_lock lock(state.mutex);
        if (state.mode == "cut")
        {
            ::close(caller);
            continue;
        }
        const auto connection = state.next_connection++;
        lock.unlock();
        std::thread(
            [&state, caller, connection]
            {
                carry(state, caller, connection);
            })
            .detach();
        std::thread(
            [&state, watched = ::dup(caller), connection]
            {
                close_on_cut(state, watched, connection);
            })
            .detach();
    }
}
