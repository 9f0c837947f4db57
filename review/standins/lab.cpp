#include "lab.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace lab
{

namespace
{

const auto program_start = std::chrono::steady_clock::now();

/// Never destroyed: threads of connections may outlive their server for a
/// moment.
boost::asio::io_context& shared_loop()
{
    static auto* const loop = new boost::asio::io_context;
    return *loop;
}

std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

std::string read_header(const request_t& request, const char* name)
{
    return text(request[name]);
}

/// The first of some ports in a row that are free on an address, below those
/// that the kernel gives to outgoing connections. Never the same twice.
std::uint16_t free_ports(const std::string& ip, std::uint16_t count)
{
    static std::uint16_t next = []
    {
        constexpr std::uint16_t first_port = 20000;
        constexpr std::uint16_t last_port = 30000;
        std::random_device random;
        return std::uniform_int_distribution<std::uint16_t>(first_port,
                                                            last_port)(random);
    }();
    const auto address = boost::asio::ip::make_address(ip);
    for (;;)
    {
        const auto first = next;
        next = static_cast<std::uint16_t>(next + count);
        bool all_free = true;
        for (std::uint16_t i = 0; i < count && all_free; ++i)
        {
            boost::system::error_code fault;
            tcp::acceptor probe(shared_loop());
            probe.open(tcp::v4(), fault);
            probe.bind({address, static_cast<std::uint16_t>(first + i)}, fault);
            all_free = !fault;
        }
        if (all_free)
            return first;
    }
}

std::map<std::string, std::string> read_query(std::string_view target)
{
    std::map<std::string, std::string> values;
    const auto begin = target.find('?');
    if (begin == std::string_view::npos)
        return values;
    target.remove_prefix(begin + 1);
    while (!target.empty())
    {
        const auto part = target.substr(0, target.find('&'));
        const auto equals = part.find('=');
        values[std::string(part.substr(0, equals))] =
            equals == std::string_view::npos
                ? std::string()
                : std::string(part.substr(equals + 1));
        target.remove_prefix(std::min(target.size(), part.size() + 1));
    }
    return values;
}

std::vector<std::string> read_path(std::string_view target)
{
    target = target.substr(0, target.find('?'));
    std::vector<std::string> parts;
    while (!target.empty())
    {
        target.remove_prefix(1);
        const auto part = target.substr(0, target.find('/'));
        parts.emplace_back(part);
        target.remove_prefix(part.size());
    }
    return parts;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         program_start)
        .count();
}

void sleep_until(double at)
{
    const auto left = at - now();
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

void sleep_for(double seconds)
{
    sleep_until(now() + seconds);
}

record_file::record_file(const std::string& path) : m_out(path)
{
}

void record_file::add(json line)
{
    const std::lock_guard lock(m_mutex);
    line["at"] = std::round(now() * 1000) / 1000;
    m_out << line.dump() << std::endl;
}

http_server::http_server(const std::string& ip, std::uint16_t port,
                         handler_t handler)
    : m_acceptor(shared_loop()), m_handler(std::move(handler))
{
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind({boost::asio::ip::make_address(ip), port});
    m_acceptor.listen(1024);
    m_port = m_acceptor.local_endpoint().port();
    m_thread = std::thread(
        [this]
        {
            accept();
        });
}

http_server::~http_server()
{
    finish();
}

void http_server::finish()
{
    stop(false);
    if (m_thread.joinable())
        m_thread.join();
    std::unique_lock lock(m_mutex);
    m_ended.wait(lock,
                 [this]
                 {
                     return m_links.empty();
                 });
}

void http_server::accept()
{
    for (;;)
    {
        boost::system::error_code fault;
        auto socket = m_acceptor.accept(fault);
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
        {
            m_acceptor.close(fault);
            return;
        }
        if (fault)
            continue;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto link = std::make_shared<connection>(std::move(socket));
        m_links.insert(link);
        std::thread(
            [this, link]
            {
                serve(link);
            })
            .detach();
    }
}

void http_server::serve(const std::shared_ptr<connection>& link)
{
    boost::beast::flat_buffer buffer;
    for (;;)
    {
        boost::system::error_code fault;
        http::request_parser<http::string_body> parser;
        parser.body_limit(8U << 20U);
        http::read(link->socket, buffer, parser, fault);
        if (fault)
            break;
        const auto request = parser.release();
        auto response = m_handler(request, *link);
        if (!response)
            break;
        response->version(11);
        response->keep_alive(request.keep_alive());
        response->prepare_payload();
        http::write(link->socket, *response, fault);
        if (fault || !request.keep_alive())
            break;
    }
    const std::lock_guard lock(m_mutex);
    boost::system::error_code ignored;
    link->socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_links.erase(link);
    m_ended.notify_all();
}

void http_server::stop(bool reset)
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_stopping, true))
        return;
    // Wakes the accepting thread.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    boost::system::error_code ignored;
    for (const auto& link : m_links)
    {
        if (reset)
            link->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                    ignored);
        ::shutdown(link->socket.native_handle(), SHUT_RDWR);
    }
}

std::size_t http_server::cut_watches(const std::string& kind)
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& link : m_links)
    {
        if (link->watches.empty() || (!kind.empty() && link->watches != kind))
            continue;
        link->cut = true;
        ::shutdown(link->socket.native_handle(), SHUT_RDWR);
        ++count;
    }
    return count;
}

void http_server::set_watching(connection& link, const std::string& kind)
{
    const std::lock_guard lock(m_mutex);
    link.watches = kind;
}

store::store(record_file& record) : m_record(record)
{
    m_server = std::make_unique<http_server>(
        "127.0.0.1", 0,
        [this](const request_t& request, connection& link)
        {
            return handle(request, link);
        });
}

store::~store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    // Its handlers use the pointer.
    m_server->finish();
}

std::string store::address() const
{
    return "127.0.0.1:" + std::to_string(m_server->port());
}

void store::store_object(const std::string& kind, const std::string& name,
                         json object)
{
    object["metadata"]["revision"] = ++m_revision;
    m_kinds[kind][name] = object;
    m_history.push_back({m_revision, kind, std::move(object), false});
    m_changed.notify_all();
}

double store::put(const std::string& kind, const std::string& name,
                  const json& spec)
{
    {
        const std::lock_guard lock(m_mutex);
        auto& objects = m_kinds[kind];
        const auto found = objects.find(name);
        json object = found != objects.end()
                          ? found->second
                          : json{{"metadata",
                                  {{"name", name},
                                   {"created", m_revision + 1},
                                   {"finalizers", json::array()},
                                   {"deleting", false}}},
                                 {"spec", nullptr},
                                 {"status", nullptr}};
        if (object["spec"] != spec)
        {
            object["spec"] = spec;
            store_object(kind, name, std::move(object));
        }
    }
    const auto at = now();
    if (kind != "config")
        m_record.add({{"event", "written"}, {"kind", kind}, {"name", name}});
    return at;
}

double store::remove(const std::string& kind, const std::string& name)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_kinds[kind].find(name);
        if (found != m_kinds[kind].end())
        {
            m_history.push_back({++m_revision, kind, found->second, true});
            m_kinds[kind].erase(found);
            m_changed.notify_all();
        }
    }
    const auto at = now();
    m_record.add({{"event", "removed"}, {"kind", kind}, {"name", name}});
    return at;
}

std::optional<json> store::get(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_kinds[kind].find(name);
    if (found == m_kinds[kind].end())
        return std::nullopt;
    return found->second;
}

void store::cut_watches(const std::string& kind)
{
    const auto count = m_server->cut_watches(kind);
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
    }
    m_record.add({{"event", "waiting watches cut off"},
                  {"kind", kind},
                  {"count", count}});
}

response_t store::answer(http::status status, const json& body)
{
    response_t response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump();
    return response;
}

std::optional<response_t> store::watch(const std::string& kind,
                                       std::uint64_t since, int wait_ms,
                                       connection& link)
{
    m_server->set_watching(link, kind);
    std::unique_lock lock(m_mutex);
    json events = json::array();
    m_changed.wait_for(
        lock, std::chrono::milliseconds(wait_ms),
        [&]
        {
            events = json::array();
            for (const auto& each : m_history)
                if (each.kind == kind && each.revision > since)
                    events.push_back(
                        {{"object", each.object}, {"tombstone", each.removed}});
            return !events.empty() || m_stopping || link.cut;
        });
    const json body{{"events", events}, {"storeRevision", m_revision}};
    const bool ends = m_stopping || link.cut;
    lock.unlock();
    m_server->set_watching(link, "");
    if (ends)
        return std::nullopt;
    return answer(http::status::ok, body);
}

response_t store::list(const std::string& kind, const std::string& after)
{
    constexpr std::size_t page = 500;
    const std::lock_guard lock(m_mutex);
    json items = json::array();
    bool more = false;
    for (const auto& [name, object] : m_kinds[kind])
    {
        if (name <= after)
            continue;
        more = items.size() == page;
        if (more)
            break;
        items.push_back(object);
    }
    return answer(
        http::status::ok,
        {{"items", items}, {"hasMore", more}, {"storeRevision", m_revision}});
}

response_t store::write(const std::string& kind, const std::string& name,
                        const std::string& section, const json& body,
                        bool create)
{
    const std::lock_guard lock(m_mutex);
    auto& objects = m_kinds[kind];
    const auto found = objects.find(name);
    const auto metadata = body.value("metadata", json::object());
    if (create)
    {
        if (found != objects.end())
            return answer(http::status::conflict, found->second);
        store_object(
            kind, name,
            {{"metadata",
              {{"name", name},
               {"created", m_revision + 1},
               {"finalizers", metadata.value("finalizers", json::array())},
               {"deleting", false}}},
             {"spec", body.value("spec", json())},
             {"status", nullptr}});
        return answer(http::status::created, objects[name]);
    }
    if (found == objects.end())
        return answer(http::status::not_found, json::object());
    auto object = found->second;
    if (metadata.contains("revision") &&
        metadata["revision"] != object["metadata"]["revision"])
        return answer(http::status::conflict, object);
    auto next = object;
    next[section] = body.value(section, json());
    if (section == "spec" && metadata.contains("finalizers"))
        next["metadata"]["finalizers"] = metadata["finalizers"];
    if (next != object)
        store_object(kind, name, std::move(next));
    if (section == "status")
        m_record.add({{"event", "status written"},
                      {"kind", kind},
                      {"name", name},
                      {"status", objects[name]["status"]}});
    return answer(http::status::ok, objects[name]);
}

std::optional<response_t> store::handle(const request_t& request,
                                        connection& link)
{
    constexpr double answer_time = 0.004;
    sleep_for(answer_time);
    const auto target = text(request.target());
    const auto path = read_path(target);
    auto query = read_query(target);
    if (path.size() < 3 || path[0] != "api" || path[1] != "objects")
        return answer(http::status::not_found, json::object());
    const auto& kind = path[2];
    const auto body = request.body().empty()
                          ? json::object()
                          : json::parse(request.body(), nullptr, false);
    if (request.method() == http::verb::get && path.size() == 3)
    {
        if (query.contains("watch"))
            return watch(kind, std::stoull(query["watch"]),
                         query.contains("waitMs") ? std::stoi(query["waitMs"])
                                                  : 0,
                         link);
        return list(kind, query["after"]);
    }
    if (request.method() == http::verb::post && path.size() == 3)
        return write(kind, body.at("metadata").at("name"), "spec", body, true);
    if (request.method() == http::verb::put && path.size() >= 4)
        return write(kind, path[3],
                     path.size() > 4 && path[4] == "status" ? "status" : "spec",
                     body, false);
    if (request.method() == http::verb::get && path.size() == 4)
    {
        const auto found = get(kind, path[3]);
        return found ? answer(http::status::ok, *found)
                     : answer(http::status::not_found, json::object());
    }
    if (request.method() == http::verb::delete_ && path.size() == 4)
    {
        remove(kind, path[3]);
        return answer(http::status::ok, json::object());
    }
    return answer(http::status::not_found, json::object());
}

replica::replica(store& registry, record_file& record, std::string name,
                 replica_options options)
    : m_registry(registry),
      m_record(record),
      m_name(std::move(name)),
      m_options(std::move(options))
{
    start(0);
}

replica::~replica()
{
    exit();
    for (auto& each : m_restarts)
        each.join();
    m_server.reset();
    m_old_servers.clear();
}

void replica::start(std::uint16_t port)
{
    auto server = std::make_unique<http_server>(
        "127.0.0.1", port,
        [this](const request_t& request, connection& link)
        {
            return handle(request, link);
        });
    std::string id;
    {
        const std::lock_guard lock(m_mutex);
        m_port = server->port();
        m_id = "i-" + m_name + "-" + std::to_string(++m_boot);
        m_running = 0;
        m_waiting = 0;
        if (m_server)
            m_old_servers.push_back(std::move(m_server));
        m_server = std::move(server);
        id = m_id;
        m_slot_free.notify_all();
    }
    m_registry.put("servers", id,
                   {{"service", m_options.service},
                    {"address", "127.0.0.1:" + std::to_string(m_port)},
                    {"zone", m_options.zone},
                    {"version", m_options.version},
                    {"slots", m_options.slots},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"sequence", 1}});
}

void replica::crash()
{
    ++m_crashes;
    m_record.add({{"event", "crash"}, {"replica", m_name}});
    m_server->stop(true);
    m_restarts.emplace_back(
        [this]
        {
            restart_later();
        });
}

/// The entry of the crashed process is removed after three report intervals;
/// the process is back, with a new id, after some seconds.
void replica::restart_later()
{
    constexpr double silence = 3.6;
    const auto crashed_at = now();
    const auto old_id = m_id;
    sleep_until(crashed_at + m_options.down_s);
    {
        const std::lock_guard lock(m_mutex);
        if (m_exited)
            return;
    }
    start(m_port);
    sleep_until(crashed_at + silence);
    m_registry.remove("servers", old_id);
}

double replica::leave_unannounced()
{
    return m_registry.remove("servers", m_id);
}

void replica::exit()
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_exited, true))
        return;
    m_record.add({{"event", "exit"}, {"replica", m_id}});
    m_server->stop(false);
    m_slot_free.notify_all();
}

std::vector<arrival> replica::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

std::optional<response_t> replica::handle(const request_t& request, connection&)
{
    response_t response;
    response.result(http::status::ok);
    const auto id = read_header(request, "Request-Id");
    response.set("Request-Id", id);
    const auto path = text(request.target());
    if (path == "/healthz")
    {
        response.set("Replica-Id", m_id);
        return response;
    }
    arrival seen{now(), id, path, false, false};
    std::unique_lock lock(m_mutex);
    const auto boot = m_boot;
    const auto load = [&]
    {
        return std::to_string(m_running) + "," + std::to_string(m_waiting) +
               "," + std::to_string(m_options.slots);
    };
    const auto expected = read_header(request, "Expect-Instance");
    const bool is_other = !expected.empty() && expected != m_id;
    const bool is_full =
        m_running >= m_options.slots && m_waiting >= m_options.queue;
    if (is_other || is_full)
    {
        m_arrivals.push_back(seen);
        response.result(is_other ? http::status::misdirected_request
                                 : http::status::service_unavailable);
        response.set("Not-Executed", "1");
        response.set("Replica-Load", load());
        lock.unlock();
        m_record.add({{"event", "rejected"},
                      {"replica", m_name},
                      {"request", id},
                      {"path", path},
                      {"status", response.result_int()}});
        return response;
    }
    ++m_waiting;
    m_slot_free.wait(lock,
                     [&]
                     {
                         return m_running < m_options.slots || m_exited ||
                                boot != m_boot;
                     });
    if (m_exited || boot != m_boot)
        return std::nullopt;
    --m_waiting;
    ++m_running;
    seen.ran = true;
    const bool crashes =
        !m_options.poison.empty() &&
        request.body().find(m_options.poison) != std::string::npos;
    seen.failed = crashes || static_cast<double>(m_random() % 10000) / 10000 <
                                 m_options.bad_share;
    m_arrivals.push_back(seen);
    lock.unlock();
    m_record.add({{"event", "run"},
                  {"replica", m_name},
                  {"request", id},
                  {"path", path},
                  {"tenant", read_header(request, "Tenant-Id")},
                  {"failed", seen.failed}});
    if (crashes)
    {
        constexpr double until_crash = 0.02;
        sleep_for(until_crash);
        lock.lock();
        if (!m_exited && boot == m_boot)
            crash();
        return std::nullopt;
    }
    sleep_for(m_options.work_ms / 1000.0);
    lock.lock();
    if (m_exited || boot != m_boot)
        return std::nullopt;
    --m_running;
    m_slot_free.notify_one();
    response.result(seen.failed ? http::status::internal_server_error
                                : http::status::ok);
    response.set("Response-Signature", m_id + "." + id);
    response.set("Replica-Load", load());
    response.body() = "answer to " + id;
    return response;
}

host::host(const std::filesystem::path& folder, const std::string& program,
           const std::string& store_address, const json& zones,
           host_options options)
    : m_options(std::move(options)), m_program(program)
{
    // All on one address: the source address of connections between hosts must
    // be that of a host, as on machines of their own.
    const std::string ip = "127.0.0.1";
    const auto address = boost::asio::ip::make_address(ip);
    const auto first = free_ports(ip, 4);
    m_front = {address, first};
    m_ready = {address, static_cast<std::uint16_t>(first + 1)};
    const auto inner = first + 2;
    m_settings = folder / (m_options.name + ".toml");
    m_log = folder / (m_options.name + ".log");
    const auto address_of = [&](const tcp::endpoint& each)
    {
        return ip + ":" + std::to_string(each.port());
    };
    std::ofstream out(m_settings);
    out << "nodeName = \"" << m_options.name << "\"\n"
        << "role = \"router\"\nmachineClass = \"front\"\n"
        << "serves = [\"front\"]\nip = \"" << ip << "\"\nzone = \""
        << m_options.zone << "\"\nregion = \"region\"\n"
        << "internalPortRange = [" << inner << "," << inner + 1 << "]\n"
        << "seeds = []\nbootstrap = true\ncountsAsLoss = false\n"
        << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
        << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
           "\"recover\",\"engine\",\"stream\",\"tenants\",\"rollout\","
           "\"pressure\",\"platform\"]\n[zones]\n";
    for (const auto& each : zones)
        out << each.get<std::string>() << " = \"region\"\n";
    out << "[listen]\nfront = \"" << address_of(m_front) << "\"\nready = \""
        << address_of(m_ready)
        << "\"\n[limits]\ncpuShare = " << m_options.cpu_share
        << "\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = "
        << m_options.link_mbps
        << "\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\n"
           "regions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\n"
           "contactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n"
           "graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
           "rollbackSlackMs = 250\nouterMs = 5000\nstrictRevocation = false\n"
           "revokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
           "retryBudgetSlack = 54\nexposureShare = 0.1\nexposureSlack = 50\n"
           "rollbackMs = 5000\nrecoveryS = 12\npassMs = 120\n"
           "reuseWindowS = 7.7\nsettle_ms = 1500\n[platform]\naddress = \""
        << store_address
        << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n"
           "historyS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n";
}

host::~host()
{
    if (m_pid > 0)
    {
        ::kill(m_pid, SIGCONT);
        kill();
    }
}

void host::start()
{
    // Nothing is allocated between fork and exec.
    const auto settings = "RHUBARBGRADE_BOOT=" + m_settings.string();
    const auto log = m_log.string();
    const char* const path = std::getenv("PATH");
    const auto path_text = std::string("PATH=") + (path ? path : "/usr/bin");
    const char* const environment[] = {path_text.c_str(), settings.c_str(),
                                       "LANG=C", "HOME=/tmp", nullptr};
    const char* const arguments[] = {m_program.c_str(), nullptr};
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (int each = 3; each < 4096; ++each)
        ::close(each);
    ::execve(m_program.c_str(), const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
    ::_exit(127);
}

void host::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void host::wait_for_end()
{
    if (m_pid > 0)
        ::waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

void host::kill()
{
    signal(SIGKILL);
    wait_for_end();
}

bool host::ended_by_itself()
{
    if (m_pid <= 0 || ::waitpid(m_pid, nullptr, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    return true;
}

bool channel::open(double timeout_s)
{
    m_socket = std::make_unique<tcp::socket>(shared_loop());
    boost::system::error_code fault;
    m_socket->open(tcp::v4(), fault);
    timeval limit{};
    limit.tv_sec = static_cast<time_t>(timeout_s);
    limit.tv_usec = static_cast<suseconds_t>(
        (timeout_s - static_cast<double>(limit.tv_sec)) * 1e6);
    ::setsockopt(m_socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof limit);
    ::setsockopt(m_socket->native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
                 sizeof limit);
    // The plain call honours the time-out.
    if (::connect(m_socket->native_handle(), m_to.data(),
                  static_cast<socklen_t>(m_to.size())) != 0)
    {
        m_socket.reset();
        return false;
    }
    m_socket->set_option(tcp::no_delay(true), fault);
    return true;
}

namespace
{

/// A stream over a blocking descriptor that keeps its time-outs; those of Asio
/// would wait again after EAGAIN.
class blocking_stream
{
public:
    explicit blocking_stream(int handle) : m_handle(handle)
    {
    }

    template <typename Buffers>
    std::size_t read_some(const Buffers& buffers,
                          boost::system::error_code& fault)
    {
        const boost::asio::mutable_buffer first =
            *boost::asio::buffer_sequence_begin(buffers);
        const auto count = ::recv(m_handle, first.data(), first.size(), 0);
        fault = {};
        if (count == 0)
            fault = boost::asio::error::eof;
        else if (count < 0)
            fault = boost::asio::error::timed_out;
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    template <typename Buffers>
    std::size_t read_some(const Buffers& buffers)
    {
        boost::system::error_code fault;
        return read_some(buffers, fault);
    }

    template <typename Buffers>
    std::size_t write_some(const Buffers& buffers,
                           boost::system::error_code& fault)
    {
        for (auto each = boost::asio::buffer_sequence_begin(buffers);
             each != boost::asio::buffer_sequence_end(buffers); ++each)
        {
            const boost::asio::const_buffer part = *each;
            if (part.size() == 0)
                continue;
            const auto count =
                ::send(m_handle, part.data(), part.size(), MSG_NOSIGNAL);
            fault = {};
            if (count < 0)
                fault = boost::asio::error::broken_pipe;
            return count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        fault = {};
        return 0;
    }

    template <typename Buffers>
    std::size_t write_some(const Buffers& buffers)
    {
        boost::system::error_code fault;
        return write_some(buffers, fault);
    }

private:
    int m_handle;
};

} // namespace

answer channel::call(const request_t& request, double timeout_s)
{
    answer result;
    result.sent = now();
    const bool was_open = m_socket != nullptr;
    result.connected = was_open || open(timeout_s);
    if (!result.connected)
    {
        result.ended = now();
        return result;
    }
    blocking_stream stream(m_socket->native_handle());
    boost::system::error_code fault;
    result.sent = now();
    auto message = request;
    http::write(stream, message, fault);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(8U << 20U);
    if (!fault)
        http::read(stream, buffer, parser, fault);
    result.ended = now();
    if (fault)
    {
        m_socket.reset();
        return result;
    }
    const auto& response = parser.get();
    result.status = static_cast<int>(response.result_int());
    result.body = response.body();
    result.signed_by_replica = !response["Response-Signature"].empty();
    const auto retry_after = text(response[http::field::retry_after]);
    if (!retry_after.empty())
        result.retry_after = std::strtod(retry_after.c_str(), nullptr);
    if (!parser.keep_alive())
        m_socket.reset();
    return result;
}

site::site(const std::filesystem::path& folder)
{
    std::signal(SIGPIPE, SIG_IGN);
    m_record = std::make_unique<record_file>((folder / "record.txt").string());
    auto name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_temporary = name;
    m_store = std::make_unique<store>(*m_record);
}

site::~site()
{
    m_stopping = true;
    if (m_poller.joinable())
        m_poller.join();
    m_hosts.clear();
    m_replicas.clear();
    m_store.reset();
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_temporary, ignored);
    else
        std::cerr << "logs: " << m_temporary << "\n";
}

host& site::add_host(host_options options)
{
    const char* const program = std::getenv("REVIEW_PROGRAM");
    m_hosts.push_back(std::make_unique<host>(
        m_temporary, program ? program : "target/rhubarbgrade_node",
        m_store->address(), json{"za", "zb", "zc", "zd"}, std::move(options)));
    return *m_hosts.back();
}

bool site::wait_ready(const std::vector<host*>& hosts, double limit_s)
{
    const auto until = now() + limit_s;
    for (auto* const each : hosts)
        for (;;)
        {
            channel probe(each->ready());
            if (probe
                    .call(make_request(http::verb::get, "/api/ready", "", 0), 1)
                    .status == 200)
                break;
            if (now() > until)
                return false;
            sleep_for(0.05);
        }
    return true;
}

bool site::start_hosts()
{
    std::vector<host*> all;
    for (auto& each : m_hosts)
    {
        each->start();
        all.push_back(each.get());
    }
    if (!wait_ready(all, 15))
        return false;
    m_poller = std::thread(
        [this]
        {
            poll_readiness();
        });
    return true;
}

void site::poll_readiness()
{
    while (!m_stopping)
    {
        const auto next = now() + 1;
        for (auto& each : m_hosts)
        {
            channel probe(each->ready());
            const auto status =
                probe
                    .call(make_request(http::verb::get, "/api/ready", "", 0),
                          0.3)
                    .status;
            const std::lock_guard lock(m_mutex);
            auto& misses = m_misses[each.get()];
            misses = status == 200 ? 0 : misses + 1;
        }
        while (!m_stopping && now() < next)
            sleep_for(0.05);
    }
}

bool site::in_rotation(const host& each)
{
    const std::lock_guard lock(m_mutex);
    return m_misses[&each] < 2;
}

replica& site::add_replica(const std::string& name, replica_options options)
{
    m_replicas.push_back(std::make_unique<replica>(*m_store, *m_record, name,
                                                   std::move(options)));
    return *m_replicas.back();
}

double site::publish(json spec)
{
    const auto version = spec["version"];
    const auto at = m_store->put("config", "main", std::move(spec));
    m_record->add({{"event", "desired state"}, {"version", version}});
    return at;
}

std::string site::next_id()
{
    static std::atomic<std::uint64_t> count = 0;
    static const auto base = static_cast<std::uint64_t>(std::random_device{}())
                             << 32U;
    char buffer[20];
    std::snprintf(buffer, sizeof buffer, "%016llx",
                  static_cast<unsigned long long>(base + ++count));
    return buffer;
}

json make_route(const std::string& prefix, const std::string& kind,
                const std::string& service, int attempts, int timeout_ms,
                int aim_ms)
{
    return {{"name", prefix},          {"hostname", "a.example"},
            {"pathPrefix", prefix},    {"kind", kind},
            {"timeoutMs", timeout_ms}, {"targetLatencyMs", aim_ms},
            {"priority", 0},           {"service", service},
            {"maxAttempts", attempts}};
}

json make_limits()
{
    return {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 5000},
            {"idleTimeoutMs", 15000}};
}

request_t make_request(http::verb method, const std::string& path,
                       const std::string& key, int deadline_ms,
                       const std::string& body)
{
    request_t request(method, path, 11);
    request.set(http::field::host, "a.example");
    if (deadline_ms > 0)
    {
        request.set("Request-Id", site::next_id());
        request.set("Deadline-Ms", std::to_string(deadline_ms));
    }
    if (!key.empty())
        request.set(http::field::authorization, "Token " + key);
    request.body() = body;
    request.prepare_payload();
    return request;
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace lab
