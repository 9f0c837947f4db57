#pragma once

#include <cstdint> // uint64_t
#include <string>  // string
#include <utility> // move

#include <kj/async-io.h> // Network, Timer
#include <kj/async.h>    // Promise

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

#include "protocol.capnp.h" // Router

namespace rhubarbgrade
{

/// @brief The connection to another router; used on the control thread only.
///
/// The connection is opened by the first call. A call that fails or times out
/// closes it, since an unresponsive connection may never recover; the next
/// call opens a new one.
class peer_link
{
public:
    peer_link(kj::Network& network, kj::Timer& timer, std::string address);
    ~peer_link() noexcept(false);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    const std::string& address() const
    {
        return m_address;
    }

    /// @brief Whether a call failed less than @a time ago and none has
    ///        succeeded since.
    bool failed_within(milliseconds time) const;

    /// @brief Makes a call through the connection.
    /// @param[in] timeout    limit for connecting and the call together
    /// @param[in] send_call  sends the call through a protocol::Router::Client
    ///                       and returns a promise
    /// @return a promise of the same type, rejected on failure or timeout
    template <typename SendCall>
    auto call(milliseconds timeout, SendCall send_call)
    {
        auto pending_call = client()
                                .then(
                                    [send_call = std::move(send_call)](
                                        protocol::Router::Client router) mutable
                                    {
                                        return send_call(router);
                                    })
                                .then(
                                    [this](auto&& response)
                                    {
                                        return record_success(kj::mv(response));
                                    });
        const auto call_connection = m_connection_number;
        return m_timer
            .timeoutAfter(timeout.count() * kj::MILLISECONDS,
                          kj::mv(pending_call))
            .catch_(
                [this, call_connection](
                    kj::Exception&& reason) -> decltype(pending_call)
                {
                    disconnect(call_connection);
                    return kj::mv(reason);
                });
    }

private:
    struct connection;

    kj::Promise<protocol::Router::Client> client();
    void disconnect(std::uint64_t connection_number);

    template <typename Response>
    Response record_success(Response&& response)
    {
        m_last_failure = time_point_t{};
        return kj::mv(response);
    }

    kj::Network& m_network;
    kj::Timer& m_timer;
    std::string m_address;
    std::uint64_t m_connection_number = 0;
    time_point_t m_last_failure{};
    kj::Own<connection> m_connection;
    kj::Maybe<kj::ForkedPromise<void>> m_opening;
};

} // namespace rhubarbgrade
