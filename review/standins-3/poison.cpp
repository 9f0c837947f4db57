// A request that crashes each replica that runs it, before and after all hosts
// are killed at the same moment.
//
// usage: poison FOLDER

#include <atomic>

#include "fleet.hpp"

namespace
{

constexpr int time_limit_ms = 1500;
constexpr int hosts = 3;
constexpr int replicas = 10;
constexpr const char* poison = "poison";

std::string name_of(int host)
{
    return "front-" + std::to_string(host + 1);
}

/// Sends one request on a channel of its own.
void send(review::fleet& fleet, int host, const std::string& id,
          const std::string& body)
{
    const int port = fleet.hosts.at(name_of(host)).front;
    const int channel = net::connect_to(port);
    const auto sent_at = net::now_ms();
    net::send_all(channel,
                  review::request("POST", "/book/x", id, time_limit_ms, body));
    net::reader in(channel);
    in.set_timeout(2 * time_limit_ms);
    const auto answer = in.read(true);
    ::close(channel);
    fleet.note({{"at", sent_at},
                {"event", "sent"},
                {"request", id},
                {"host", name_of(host)},
                {"status", answer.status()},
                {"took_ms", net::now_ms() - sent_at}});
}

/// The replicas of the service. One that has crashed is back 3 s later.
class pool
{
public:
    explicit pool(review::fleet& fleet) : m_fleet(fleet)
    {
        for (int i = 0; i < replicas; ++i)
            start();
        m_thread = std::thread(
            [this]
            {
                watch();
            });
    }

    ~pool()
    {
        m_stopping = true;
        m_thread.join();
    }

private:
    void start()
    {
        const auto id = "i-" + std::to_string(++m_started);
        m_running[m_fleet.start_replica(
            id, "desk", "v1", {std::string("crash_on=") + poison})] = id;
    }

    void watch()
    {
        std::vector<long long> due;
        while (!m_stopping)
        {
            review::sleep_ms(20);
            for (auto it = m_running.begin(); it != m_running.end();)
                if (m_fleet.has_ended(it->first))
                {
                    m_ended[it->second] = net::now_ms();
                    due.push_back(net::now_ms() + 3000);
                    it = m_running.erase(it);
                }
                else
                    ++it;
            // Three liveness intervals of silence.
            for (auto it = m_ended.begin(); it != m_ended.end();)
                if (net::now_ms() - it->second > 3600)
                {
                    m_fleet.remove_object("servers", it->first);
                    it = m_ended.erase(it);
                }
                else
                    ++it;
            while (!due.empty() && due.front() <= net::now_ms())
            {
                due.erase(due.begin());
                start();
            }
        }
    }

    review::fleet& m_fleet;
    std::map<pid_t, std::string> m_running;
    std::map<std::string, long long> m_ended;
    int m_started = 0;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

/// The request comes five times a second, at each host in turn; beside it come
/// ordinary ones.
void traffic(review::fleet& fleet, const std::string& phase, int seconds)
{
    std::vector<std::thread> requests;
    const auto start = net::now_ms();
    for (int i = 0; i < 5 * seconds; ++i)
    {
        for (int host = 0; host < hosts; ++host)
            requests.emplace_back(send, std::ref(fleet), host,
                                  phase + "-good-" + std::to_string(i) + "-" +
                                      std::to_string(host),
                                  "an order " + std::to_string(i));
        requests.emplace_back(send, std::ref(fleet), i % hosts,
                              phase + "-poison-" + std::to_string(i), poison);
        review::sleep_ms(start + 200 * (i + 1) - net::now_ms());
    }
    for (auto& each : requests)
        each.join();
}

} // namespace

int main(int, char** arguments)
{
    review::fleet fleet(arguments[1]);
    fleet.write_object(
        "config", "main",
        review::desired_state(
            1,
            review::json::array({review::route("/book/", "non_idempotent",
                                               "desk", time_limit_ms)}),
            review::json::array({review::json{{"name", "desk"},
                                              {"healthPath", "/healthz"},
                                              {"maxConnections", 100}}})));
    {
        pool desk(fleet);
        for (int i = 0; i < hosts; ++i)
            fleet.start_host(name_of(i), review::usual_bounds());
        for (int i = 0; i < hosts; ++i)
            fleet.wait_ready(name_of(i));
        review::sleep_ms(4000); // the contact bound: all are in touch

        traffic(fleet, "first", 3);
        review::sleep_ms(5000);
        if (review::trouble())
        {
            for (auto& [name, host] : fleet.hosts)
                ::kill(host.process, SIGKILL);
            for (auto& [name, host] : fleet.hosts)
                fleet.kill_process(host.process);
            fleet.note(
                {{"at", net::now_ms()}, {"event", "all hosts are killed"}});
            review::sleep_ms(500);
            for (int i = 0; i < hosts; ++i)
                fleet.start_host(name_of(i), review::usual_bounds());
            for (int i = 0; i < hosts; ++i)
                fleet.wait_ready(name_of(i));
        }
        review::sleep_ms(4500); // the contact bound: all are in touch
        traffic(fleet, "second", 3);
        review::sleep_ms(500);
    }
    fleet.copy_runs();

    std::vector<long long> crashes;
    int late = 0;
    for (const auto& each : fleet.runs())
    {
        const auto at = each["at"].get<long long>();
        if (each["event"] == "crash")
            crashes.push_back(at);
        if (each["event"] == "run" && crashes.size() >= 3 &&
            at > crashes[2] + 3000 &&
            each["request"].get<std::string>().find("poison") !=
                std::string::npos)
            ++late;
    }
    std::printf("crashes: %zu; requests that crash reached replicas later than "
                "3 s after the third crash: %d (allowed: 3)\n",
                crashes.size(), late);
    fleet.note(
        {{"event", "result"}, {"crashes", crashes.size()}, {"late", late}});
    if (crashes.size() < 3)
        return review::could_not_run;
    return late > 3 ? review::broken : review::held;
}
