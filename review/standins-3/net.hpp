#pragma once
// Sockets and HTTP/1.1 messages for the stand-ins of this review. Blocking
// calls, one thread for each connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace net
{

inline long long now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline long long unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on a loopback port; 0 lets the kernel choose one.
inline int listen_on(int& port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(handle, 1024) != 0)
        return -1;
    socklen_t size = sizeof address;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return handle;
}

/// @param[in] receive_buffer  size of the receive buffer, 0: the system's own
/// @return -1 if the port can't be reached
inline int connect_to(int port, int receive_buffer = 0)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer != 0)
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    const auto address = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(handle);
        return -1;
    }
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return handle;
}

inline bool send_all(int handle, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto sent =
            ::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool complete = false;
    std::string fault; ///< why it is not complete

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    int status() const
    {
        return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
    }
};

/// Reads messages from one connection.
class reader
{
public:
    explicit reader(int handle) : m_handle(handle)
    {
    }

    /// Milliseconds after which a read gives up; 0: never.
    void set_timeout(int ms)
    {
        m_timeout_ms = ms;
    }

    /// Most bytes of one read, and the pause after each.
    void set_pace(std::size_t bytes, int pause_ms)
    {
        m_most = bytes;
        m_pause_ms = pause_ms;
    }

    /// Pause before the next read.
    void pause_once(int ms)
    {
        m_once_ms = ms;
    }

    message read(bool is_response)
    {
        message result;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
            if (!fill(result))
                return result;
        parse_head(m_buffer.substr(0, end), result);
        m_buffer.erase(0, end + 4);
        const bool chunked = result.field("transfer-encoding") == "chunked";
        const auto length = result.field("content-length");
        if (chunked)
            result.complete = read_chunks(result);
        else if (!length.empty())
            result.complete = read_bytes(
                result, static_cast<std::size_t>(std::stoull(length)));
        else if (!is_response)
            result.complete = true;
        else
            result.fault = "no length";
        return result;
    }

private:
    static void parse_head(const std::string& head, message& result)
    {
        std::size_t at = head.find("\r\n");
        result.first_line = head.substr(0, at);
        while (at != std::string::npos)
        {
            at += 2;
            const auto next = head.find("\r\n", at);
            const auto line =
                head.substr(at, next == std::string::npos ? next : next - at);
            const auto colon = line.find(':');
            if (colon != std::string::npos)
            {
                auto name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c)
                               {
                                   return std::tolower(c);
                               });
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                result.fields[name] = value;
            }
            at = next;
        }
    }

    bool read_bytes(message& result, std::size_t size)
    {
        while (m_buffer.size() < size)
            if (!fill(result))
            {
                result.body += m_buffer;
                return false;
            }
        result.body += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    bool read_chunks(message& result)
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos)
                if (!fill(result))
                    return false;
            const auto size = std::stoull(m_buffer.substr(0, end), nullptr, 16);
            m_buffer.erase(0, end + 2);
            if (!read_bytes(result, size))
                return false;
            while (m_buffer.size() < 2)
                if (!fill(result))
                    return false;
            m_buffer.erase(0, 2);
            if (size == 0)
                return true;
        }
    }

    bool fill(message& result)
    {
        const auto sleep = [](int ms)
        {
            if (ms > 0)
                ::usleep(static_cast<useconds_t>(ms) * 1000);
        };
        sleep(m_once_ms);
        m_once_ms = 0;
        if (m_timeout_ms != 0)
        {
            pollfd waiting{m_handle, POLLIN, 0};
            if (::poll(&waiting, 1, m_timeout_ms) == 0)
            {
                result.fault = "time-out";
                return false;
            }
        }
        char bytes[65536];
        const auto count =
            ::recv(m_handle, bytes, std::min(sizeof bytes, m_most), 0);
        if (count <= 0)
        {
            result.fault = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        sleep(m_pause_ms);
        return true;
    }

    int m_handle;
    int m_timeout_ms = 0;
    std::size_t m_most = 65536;
    int m_pause_ms = 0;
    int m_once_ms = 0;
    std::string m_buffer;
};

/// One call on a connection of its own.
inline message call(int port, const std::string& method,
                    const std::string& target, const std::string& body = {},
                    int timeout_ms = 3000)
{
    message result;
    const int handle = connect_to(port);
    if (handle < 0)
        return result;
    auto text = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
    if (!body.empty() || method != "GET")
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n";
    text += "Connection: close\r\n\r\n" + body;
    if (send_all(handle, text))
    {
        reader in(handle);
        in.set_timeout(timeout_ms);
        result = in.read(true);
    }
    ::close(handle);
    return result;
}

} // namespace net
