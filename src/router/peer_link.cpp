#include "peer_link.hpp"

#include <cstdint> // uint64_t
#include <string>  // string
#include <utility> // move

#include <capnp/rpc-twoparty.h> // TwoPartyClient
#include <kj/async-io.h>        // AsyncIoStream

namespace rhubarbgrade
{

struct peer_link::connection
{
    explicit connection(kj::Own<kj::AsyncIoStream>&& opened)
        : stream(kj::mv(opened)),
          rpc(*stream),
          router(rpc.bootstrap().castAs<protocol::Router>())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient rpc;
    protocol::Router::Client router;
};

peer_link::peer_link(kj::Network& network, kj::Timer& timer,
                     std::string address)
    : m_network(network), m_timer(timer), m_address(std::move(address))
{
}

peer_link::~peer_link() noexcept(false) = default;

bool peer_link::failed_within(milliseconds time) const
{
    return m_last_failure != time_point_t{} &&
           std::chrono::steady_clock::now() - m_last_failure <= time;
}

kj::Promise<protocol::Router::Client> peer_link::client()
{
    if (m_connection.get() != nullptr)
        return m_connection->router;
    KJ_IF_MAYBE (opening, m_opening)
    {
        return opening->addBranch().then(
            [this]
            {
                return client();
            });
    }
    m_connection_number++;
    auto opened = m_network.parseAddress(m_address.c_str())
                      .then(
                          [](kj::Own<kj::NetworkAddress>&& address)
                          {
                              return address->connect().attach(kj::mv(address));
                          })
                      .then(
                          [this](kj::Own<kj::AsyncIoStream>&& stream)
                          {
                              m_connection =
                                  kj::heap<connection>(kj::mv(stream));
                              m_opening = nullptr;
                          })
                      .fork();
    auto branch = opened.addBranch();
    m_opening = kj::mv(opened);
    return branch.then(
        [this]
        {
            return client();
        });
}

void peer_link::disconnect(std::uint64_t connection_number)
{
    m_last_failure = std::chrono::steady_clock::now();
    if (connection_number != m_connection_number)
        return;
    m_connection_number++;
    m_opening = nullptr;
    m_connection = nullptr;
}

} // namespace rhubarbgrade
