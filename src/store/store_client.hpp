#pragma once

#include <array>   // array
#include <cstdint> // uint64_t
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/beast/http/verb.hpp>      // verb

#include "http_link.hpp" // call_result, http_link

namespace rhubarbgrade
{

/// @brief What a call to the store is made for; each is paid for.
enum class call_purpose
{
    list,
    watch,
    budget,
    move,
    membership,
    number_of_purposes,
};

/// @brief The one way to the platform's store: calls on kept connections,
///        counted by their purpose.
class store_client
{
public:
    store_client(boost::asio::any_io_executor executor, socket_address address);

    /// @brief Makes one call on a kept connection or a new one.
    boost::asio::awaitable<call_result>
    call(call_purpose purpose, boost::beast::http::verb verb,
         std::string target, std::string body, milliseconds timeout);

    /// @brief Calls made so far for a purpose.
    std::uint64_t calls(call_purpose purpose) const
    {
        return m_calls[static_cast<std::size_t>(purpose)];
    }

private:
    std::shared_ptr<http_link> take();

    boost::asio::any_io_executor m_executor;
    socket_address m_address;
    std::vector<std::shared_ptr<http_link>> m_idle;
    std::array<std::uint64_t,
               static_cast<std::size_t>(call_purpose::number_of_purposes)>
        m_calls{};
};

} // namespace rhubarbgrade
