#pragma once

#include <arpa/inet.h>   // htonl, htons
#include <cerrno>        // errno
#include <netinet/tcp.h> // TCP_NODELAY
#include <poll.h>        // pollfd, POLLIN, POLLOUT
#include <sys/socket.h>  // connect, recv, send, socket
#include <unistd.h>      // close

#include <algorithm>   // transform
#include <array>       // array
#include <cctype>      // tolower
#include <chrono>      // steady_clock
#include <cstdint>     // uint16_t
#include <map>         // map
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace harness
{

/// Milliseconds of the monotonic clock, as in the records of the stand-ins.
inline long long monotonic_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// An answer as its bytes say it.
struct raw_answer
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool complete = false;
    std::size_t size = 0; ///< bytes on the connection, once complete

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }

    bool closes_connection() const
    {
        return header("connection") == "close";
    }
};

/// Reads the chunks of a body from a position on. Returns the position after
/// the body, or std::nullopt if it isn't whole yet.
inline std::optional<std::size_t>
read_chunks(std::string_view text, std::size_t position, std::string& body)
{
    constexpr int hexadecimal = 16;
    for (;;)
    {
        const auto line_end = text.find("\r\n", position);
        if (line_end == std::string_view::npos)
            return std::nullopt;
        const std::string line(text.substr(position, line_end - position));
        const auto size = std::strtoul(line.c_str(), nullptr, hexadecimal);
        const auto data = line_end + 2;
        if (text.size() < data + size + 2)
            return std::nullopt;
        if (size == 0)
            return data + 2;
        body.append(text.substr(data, size));
        position = data + size + 2;
    }
}

/// Reads the first answer in the bytes of a connection, as far as it has come.
/// Returns std::nullopt before its head is whole.
/// @param[in] ended  whether the connection has ended in order
inline std::optional<raw_answer> read_answer(std::string_view text, bool ended)
{
    const auto head_end = text.find("\r\n\r\n");
    if (head_end == std::string_view::npos || !text.starts_with("HTTP/1.1 "))
        return std::nullopt;
    raw_answer answer;
    answer.status = std::atoi(std::string(text.substr(9, 3)).c_str());
    auto position = text.find("\r\n") + 2;
    while (position < head_end + 2)
    {
        const auto line_end = text.find("\r\n", position);
        const auto colon = text.find(':', position);
        std::string name(text.substr(position, colon - position));
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter)
                       {
                           return static_cast<char>(std::tolower(letter));
                       });
        auto value = text.substr(colon + 1, line_end - colon - 1);
        value.remove_prefix(
            std::min(value.find_first_not_of(' '), value.size()));
        answer.headers[name] = std::string(value);
        position = line_end + 2;
    }
    const auto body = head_end + 4;
    if (answer.header("transfer-encoding") == "chunked")
    {
        const auto end = read_chunks(text, body, answer.body);
        answer.complete = end.has_value();
        answer.size = end.value_or(text.size());
    }
    else if (!answer.header("content-length").empty())
    {
        const auto length = std::stoul(answer.header("content-length"));
        answer.complete = text.size() >= body + length;
        answer.body = text.substr(body, length);
        answer.size = body + answer.body.size();
    }
    else
    {
        answer.complete = ended;
        answer.body = text.substr(body);
        answer.size = text.size();
    }
    return answer;
}

/// A connection that never blocks. What comes in is kept until it is taken.
class raw_connection
{
public:
    explicit raw_connection(int port)
        : m_socket(
              ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        const int enabled = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled,
                     sizeof enabled);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        m_connected = ::connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                                sizeof address) == 0;
        m_failed = !m_connected && errno != EINPROGRESS;
    }

    ~raw_connection()
    {
        ::close(m_socket);
    }

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    pollfd poll_entry() const
    {
        const bool writes = !m_connected || !m_output.empty();
        return {m_socket, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)),
                0};
    }

    /// Reads and writes what can be read and written now.
    void proceed(short events)
    {
        if (!m_connected && (events & (POLLOUT | POLLERR | POLLHUP)) != 0)
        {
            int fault = 0;
            socklen_t size = sizeof fault;
            ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &fault, &size);
            m_connected = fault == 0;
            m_failed = fault != 0;
        }
        if (!m_connected || m_failed)
            return;
        read();
        write();
    }

    void send(const std::string& bytes)
    {
        m_output += bytes;
        if (m_connected)
            write();
    }

    /// Reads what has come, without waiting.
    void read()
    {
        constexpr std::size_t size = 16384;
        std::array<char, size> bytes{};
        while (!ended())
        {
            const auto count =
                ::recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (count > 0)
                m_input.append(bytes.data(), static_cast<std::size_t>(count));
            else if (count == 0)
                m_closed = true;
            else if (errno == EAGAIN || errno == EINTR)
                return;
            else
                m_reset = true;
        }
    }

    /// Whether all bytes are in the kernel.
    bool sent() const
    {
        return m_connected && m_output.empty();
    }

    bool connected() const
    {
        return m_connected;
    }

    /// Whether the connection could not be opened.
    bool failed() const
    {
        return m_failed;
    }

    bool closed() const
    {
        return m_closed;
    }

    bool ended() const
    {
        return m_closed || m_reset;
    }

    std::string& input()
    {
        return m_input;
    }

private:
    void write()
    {
        while (!m_output.empty())
        {
            const auto count = ::send(m_socket, m_output.data(),
                                      m_output.size(), MSG_NOSIGNAL);
            if (count < 0)
                return; // the end is found by the next read
            m_output.erase(0, static_cast<std::size_t>(count));
        }
    }

    int m_socket;
    bool m_connected = false;
    bool m_failed = false;
    bool m_closed = false; ///< in order
    bool m_reset = false;
    std::string m_output; ///< not sent yet
    std::string m_input;
};

} // namespace harness
