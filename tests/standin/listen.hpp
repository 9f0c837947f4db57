#pragma once

#include <sys/socket.h> // listen, setsockopt

#include <iostream> // cout

#include <httplib.h> // Server

namespace standin
{

/// @brief Serves on loopback and blocks until the server stops.
///
/// Prints "listening PORT" once the port is bound. Port 0 lets the kernel
/// choose one.
inline void listen(httplib::Server& server, int port)
{
    constexpr int backlog = 1024;
    int listener = -1;
    server.set_tcp_nodelay(true);
    server.set_socket_options(
        [&listener](int socket)
        {
            const int enabled = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled,
                         sizeof enabled);
            listener = socket;
        });
    if (port == 0)
        port = server.bind_to_any_port("127.0.0.1");
    else
        server.bind_to_port("127.0.0.1", port);
    // Raises the backlog above the one that the library sets when it binds.
    ::listen(listener, backlog);
    std::cout << "listening " << port << std::endl;
    server.listen_after_bind();
}

} // namespace standin
