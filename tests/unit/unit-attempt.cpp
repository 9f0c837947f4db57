// A request that is on its way to an endpoint, of which the host learns
// something meanwhile.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include "../../src/gateway/answer_writer.hpp"    // response_writer
#include "../../src/gateway/caller_session.hpp"   // caller_session
#include "../../src/gateway/endpoint_attempt.hpp" // endpoint_attempt
#include "../../src/gateway/traffic_context.hpp"  // traffic_context
#include "../../src/store/spawn.hpp"              // spawn

using namespace rhubarbgrade;
namespace asio = boost::asio;
using std::chrono::seconds;

namespace
{

/// A host with one endpoint, which accepts connections and never answers.
class one_endpoint
{
public:
    one_endpoint()
        : m_acceptor(m_loop, {asio::ip::address_v4::loopback(), 0}),
          m_connection(m_loop),
          m_context(
              m_loop.get_executor(), {},
              []
              {
                  return std::uint64_t(0);
              },
              [] {}, [](const version_sample&) {}, {},
              [](const limit_observation&) {}, [] {}),
          m_session(
              std::make_shared<caller_session>(socket_t(m_loop), m_context)),
          m_writer(*m_session, true, true)
    {
        m_entry.id = "e";
        m_entry.service = "s";
        m_entry.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        m_entry.slots = 8;
        m_entry.started = 1;
        list({m_entry});
        m_acceptor.non_blocking(true);
        m_request.method(boost::beast::http::verb::get);
        m_request.target("/");
    }

    const endpoint_entry& entry() const
    {
        return m_entry;
    }

    void list(const std::vector<endpoint_entry>& entries,
              const std::string& evacuated_zone = "none")
    {
        auto view = std::make_shared<fleet_view>();
        view->endpoints = entries;
        view->evacuated_zones = {evacuated_zone};
        m_context.directory.update(view);
    }

    /// Sends a request to the endpoint.
    /// @param[in] meanwhile  called when the connection has been opened, before
    ///                       the host takes notice of that
    void send(const std::function<void()>& meanwhile)
    {
        endpoint_criteria criteria;
        criteria.service = "s";
        auto endpoint =
            m_context.directory.choose(criteria, time_point_t::clock::now());
        REQUIRE(endpoint);
        const auto attempt = std::make_shared<endpoint_attempt>(
            m_context.directory, std::move(endpoint), m_writer);
        spawn(m_loop, run(attempt), "attempt");
        boost::system::error_code fault = asio::error::would_block;
        while (fault && m_loop.run_one() != 0)
            m_acceptor.accept(m_connection, fault);
        REQUIRE_FALSE(fault);
        meanwhile();
        const auto until = time_point_t::clock::now() + seconds(5);
        while (!m_report && !request_arrived() &&
               time_point_t::clock::now() < until)
            m_loop.run_one_for(milliseconds(10));
    }

    bool request_arrived() const
    {
        return m_connection.available() != 0;
    }

    /// Of the request, if it has ended.
    const std::optional<attempt_report>& report() const
    {
        return m_report;
    }

private:
    using socket_t = asio::ip::tcp::socket;

    asio::awaitable<void> run(std::shared_ptr<endpoint_attempt> attempt)
    {
        attempt_params params{m_request, {}, "r1", false, false, {}, {}};
        m_report = co_await attempt->run(std::move(params));
    }

    asio::io_context m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    socket_t m_connection;
    traffic_context m_context;
    std::shared_ptr<caller_session> m_session;
    response_writer m_writer;
    endpoint_entry m_entry;
    caller_request_t m_request;
    std::optional<attempt_report> m_report;
};

/// Expects that the endpoint gets nothing, and that the request may go to
/// another one.
void check_withheld(const one_endpoint& test)
{
    REQUIRE(test.report());
    CHECK(test.report()->withheld);
    CHECK(test.report()->outcome == attempt_outcome::not_sent);
    CHECK_FALSE(test.report()->complete);
    CHECK_FALSE(test.request_arrived());
}

} // namespace

TEST_CASE("a request is sent to an endpoint that stays listed", "[attempt]")
{
    one_endpoint test;
    test.send(
        [&]
        {
            test.list({test.entry()});
        });
    CHECK(test.request_arrived());
    CHECK_FALSE(test.report());
}

TEST_CASE("a request is not sent to an endpoint that begins to leave while the "
          "connection opens",
          "[attempt]")
{
    one_endpoint test;
    test.send(
        [&]
        {
            test.list({});
        });
    check_withheld(test);
}

TEST_CASE("a request is not sent to an endpoint whose process is replaced "
          "while the connection opens",
          "[attempt]")
{
    one_endpoint test;
    test.send(
        [&]
        {
            auto next = test.entry();
            next.started = 2;
            test.list({next});
        });
    check_withheld(test);
}

TEST_CASE("a request is not sent to an endpoint that is evacuated while the "
          "connection opens",
          "[attempt]")
{
    one_endpoint test;
    test.send(
        [&]
        {
            test.list({test.entry()}, test.entry().zone);
        });
    check_withheld(test);
}
