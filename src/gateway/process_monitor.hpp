#pragma once

#include <memory> // enable_shared_from_this, shared_ptr, weak_ptr

#include <boost/asio/awaitable.hpp> // awaitable

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

#include "endpoint_link.hpp" // endpoint_link_ptr_t

namespace rhubarbgrade
{

class endpoint_directory;
struct pool_endpoint;

/// @brief A connection to an endpoint that carries no request: its end shows
///        when the process ends. Used by the traffic thread only.
///
/// Endpoints close idle connections, so it is opened again until it is refused.
class process_monitor : public std::enable_shared_from_this<process_monitor>
{
public:
    process_monitor(endpoint_directory& directory,
                    std::shared_ptr<pool_endpoint> endpoint);
    ~process_monitor();
    process_monitor(const process_monitor&) = delete;
    process_monitor& operator=(const process_monitor&) = delete;

    /// @brief Opens the connection; to be called once.
    void start();

    /// @brief Records an end of the connection that the event loop has not come
    ///        to yet.
    void check();

    /// @brief Whether the endpoint has refused the connection, which then isn't
    ///        opened any more.
    bool ended() const
    {
        return m_ended;
    }

    /// @brief Whether the endpoint has refused to open the connection again at
    ///        some time since. A first refusal tells nothing of the process.
    bool refused_since(time_point_t time) const
    {
        return m_refused_at >= time;
    }

private:
    static boost::asio::awaitable<void>
    run(std::weak_ptr<process_monitor> owner, endpoint_directory& directory,
        std::shared_ptr<pool_endpoint> endpoint);

    endpoint_directory& m_directory;
    std::shared_ptr<pool_endpoint> m_endpoint;
    endpoint_link_ptr_t m_link; ///< null while none is open
    bool m_was_open = false;
    bool m_ended = false;
    time_point_t m_refused_at{};
};

} // namespace rhubarbgrade
