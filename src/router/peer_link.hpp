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

/// @brief The connection to one other router; used on the control thread only.
///
/// It is opened at the first call and again after a failure: a call that fails
/// or times out ends the connection, since a silent one may never recover.
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
    /// @param[in] timeout  for connection and call together
    /// @param[in] ask      makes the call, given a protocol::Router::Client
    /// @return a promise of what @a ask promises; broken on failure or timeout
    template <typename Ask>
    auto call(milliseconds timeout, Ask ask)
    {
        auto answered =
            client()
                .then(
                    [ask = std::move(ask)](protocol::Router::Client to) mutable
                    {
                        return ask(to);
                    })
                .then(
                    [this](auto&& response)
                    {
                        return note_success(kj::mv(response));
                    });
        const auto connection = m_number;
        return m_timer
            .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(answered))
            .catch_(
                [this, connection](kj::Exception&& reason) -> decltype(answered)
                {
                    drop(connection);
                    return kj::mv(reason);
                });
    }

private:
    struct connection;

    kj::Promise<protocol::Router::Client> client();
    void drop(std::uint64_t number);

    template <typename Response>
    Response note_success(Response&& response)
    {
        m_failed = time_point_t{};
        return kj::mv(response);
    }

    kj::Network& m_network;
    kj::Timer& m_timer;
    std::string m_address;
    std::uint64_t m_number = 0;
    time_point_t m_failed{};
    kj::Own<connection> m_connection;
    kj::Maybe<kj::ForkedPromise<void>> m_opening;
};

} // namespace rhubarbgrade
