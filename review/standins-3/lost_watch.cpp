// The store loses one response to a watch, and answers calls that allow it from
// a copy that is some seconds old.
//
// usage: lost_watch FOLDER

#include <atomic>

#include "fleet.hpp"

namespace
{

using review::json;

constexpr int time_limit_ms = 1500;
constexpr int old_ms = 5500;
constexpr long long drain_ms = 2000;
constexpr long long contact_ms = 3000;

std::atomic<bool> stopping{false};

void consume(review::fleet& fleet, const std::string& host)
{
    const int port = fleet.hosts.at(host).front;
    for (int i = 0; !stopping; ++i)
    {
        const auto id = host + "-" + std::to_string(i);
        const int channel = net::connect_to(port);
        const auto sent_at = net::now_ms();
        net::send_all(channel,
                      review::request("GET", "/read/x", id, time_limit_ms));
        net::reader in(channel);
        in.set_timeout(2 * time_limit_ms);
        const auto answer = in.read(true);
        ::close(channel);
        fleet.note({{"at", sent_at},
                    {"event", "request"},
                    {"request", id},
                    {"status", answer.status()}});
        review::sleep_ms(25);
    }
}

} // namespace

int main(int, char** arguments)
{
    // Each host has a port of the store of its own.
    const std::vector<std::string> names{"front-a-1", "front-a-2", "front-b-1"};
    std::vector<int> ports;
    std::vector<std::string> options{std::to_string(old_ms)};
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        ports.push_back(review::free_ports());
        options.push_back(std::to_string(ports.back()));
    }
    review::fleet fleet(arguments[1], options);
    fleet.write_object("config", "main",
                       review::desired_state(
                           1,
                           json::array({review::route("/read/", "idempotent",
                                                      "desk", time_limit_ms)}),
                           json::array({json{{"name", "desk"},
                                             {"healthPath", "/healthz"},
                                             {"maxConnections", 100}}})));
    std::vector<pid_t> replicas;
    for (const auto* id : {"i-1", "i-2", "i-3", "i-4"})
        replicas.push_back(fleet.start_replica(id, "desk", "v1", {"stay=1"}));
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        fleet.hosts[names[i]].store = ports[i];
        fleet.hosts[names[i]].zone =
            names[i].find("-b-") != std::string::npos ? "zone-b" : "zone-a";
        fleet.start_host(names[i], review::usual_bounds());
    }
    for (const auto& name : names)
        fleet.wait_ready(name);
    // All are in touch, and copies of the store have what was written so far.
    review::sleep_ms(8500);

    std::vector<std::thread> consumers;
    for (const auto& name : names)
        consumers.emplace_back(consume, std::ref(fleet), name);
    review::sleep_ms(1000);
    if (review::trouble())
        net::call(fleet.store_port, "PUT",
                  "/lose/" + std::to_string(ports.back()) + "/servers", "x");
    // The replica drains: its report is acknowledged some milliseconds later.
    ::kill(replicas[0], SIGTERM);
    if (!fleet.wait(
            [&]
            {
                const auto entry = fleet.read_object("servers", "i-1");
                return entry.contains("spec") &&
                       entry["spec"].value("state", "") == "draining";
            },
            3000))
        fleet.fail("i-1 doesn't drain");
    const auto acknowledged = net::now_ms();
    fleet.note({{"at", acknowledged},
                {"event", "the store has accepted that "
                          "i-1 drains"}});
    review::sleep_ms(10000);
    stopping = true;
    for (auto& each : consumers)
        each.join();
    fleet.copy_runs();

    // The response was lost no later than the report was accepted.
    int late = 0;
    std::map<std::string, long long> last;
    for (const auto& each : fleet.runs())
    {
        if (each["event"] != "run" || each["replica"] != "i-1")
            continue;
        const auto id = each["request"].get<std::string>();
        const auto after = each["at"].get<long long>() - acknowledged;
        last[id.substr(0, 9)] = std::max(last[id.substr(0, 9)], after);
        late += after > std::max(drain_ms, contact_ms) ? 1 : 0;
    }
    std::printf("requests that reached i-1 later than drainMs after it drained "
                "and than contactMs after the lost response: %d; the last one "
                "by host, ms:",
                late);
    for (const auto& [host, at] : last)
        std::printf(" %s %lld", host.c_str(), at);
    std::puts("");
    fleet.note({{"event", "result"}, {"late", late}, {"last", last}});
    return late > 0 ? review::broken : review::held;
}
