#include <rhubarbgrade/detail/operators/admin_server.hpp>

#include <memory>    // make_unique
#include <stdexcept> // runtime_error
#include <string>    // string
#include <thread>    // thread
#include <utility>   // move

#include <httplib.h> // Server

#include <rhubarbgrade/detail/base/address.hpp> // split_address

namespace rhubarbgrade
{
namespace
{

constexpr std::size_t admin_threads = 4;
constexpr int http_unavailable = 503;

} // namespace

class admin_server::implementation
{
public:
    implementation(const std::string& address, admin_pages pages)
        : m_pages(std::move(pages))
    {
        m_server.new_task_queue = []
        {
            return new httplib::ThreadPool(admin_threads);
        };
        add_pages();
        const auto [ip, port] = split_address(address);
        m_port = port == 0 ? m_server.bind_to_any_port(ip) : port;
        if (m_port <= 0 || (port != 0 && !m_server.bind_to_port(ip, port)))
            throw std::runtime_error("admin_listen: can't bind " + address);
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
            });
    }

    ~implementation()
    {
        m_server.stop();
        m_thread.join();
    }

    int port() const
    {
        return m_port;
    }

private:
    void add_pages()
    {
        using httplib::Request;
        using httplib::Response;
        m_server.Get("/metrics",
                     [this](const Request&, Response& response)
                     {
                         response.set_content(m_pages.metrics(),
                                              "text/plain; version=0.0.4");
                     });
        m_server.Get("/healthz",
                     [](const Request&, Response& response)
                     {
                         response.set_content("ok\n", "text/plain");
                     });
        m_server.Get("/readyz",
                     [this](const Request&, Response& response)
                     {
                         const bool ready = m_pages.ready();
                         response.status = ready ? 200 : http_unavailable;
                         response.set_content(ready ? "ready\n" : "not ready\n",
                                              "text/plain");
                     });
        m_server.Get("/status",
                     [this](const Request&, Response& response)
                     {
                         response.set_content(m_pages.status(),
                                              "application/json");
                     });
        m_server.Get("/objectives",
                     [this](const Request&, Response& response)
                     {
                         response.set_content(m_pages.objectives(),
                                              "application/json");
                     });
    }

    admin_pages m_pages;
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

admin_server::admin_server(const std::string& address, admin_pages pages)
    : m_implementation(
          std::make_unique<implementation>(address, std::move(pages)))
{
}

admin_server::~admin_server() = default;

int admin_server::port() const
{
    return m_implementation->port();
}

} // namespace rhubarbgrade
