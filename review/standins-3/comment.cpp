// Streams that begin with a comment, whose replica crashes before their first
// event.
//
// usage: comment FOLDER

#include "fleet.hpp"

namespace
{

using review::json;

constexpr int time_limit_ms = 5000;
constexpr int requests = 6;
constexpr int most_out = 4; ///< one event of four tokens

} // namespace

int main(int, char** arguments)
{
    review::fleet fleet(arguments[1]);
    auto route = review::route("/stream/", "stream", "pool", time_limit_ms);
    route["stickySessions"] = true;
    route["targetLatencyMs"] = 1500;
    fleet.write_object(
        "config", "main",
        review::desired_state(1, json::array({route}),
                              json::array({json{{"name", "pool"},
                                                {"healthPath", "/healthz"},
                                                {"maxConnections", 620},
                                                {"engine",
                                                 {{"slots", 128},
                                                  {"kvCapacityTokens", 652207},
                                                  {"stride", 4}}}}})));
    std::map<std::string, pid_t> replicas;
    for (const auto* id : {"i-1", "i-2", "i-3", "i-4"})
        replicas[id] = fleet.start_replica(
            id, "pool", "v1",
            {"stride=4", "unframed=1", "comment=1", "work_ms=500"});
    for (const auto* name : {"front-1", "front-2"})
        fleet.start_host(name, review::usual_bounds());
    for (const auto* name : {"front-1", "front-2"})
        fleet.wait_ready(name);
    review::sleep_ms(4000); // the contact bound: all are in touch

    std::vector<net::message> answers(requests);
    std::vector<std::thread> consumers;
    for (int i = 0; i < requests; ++i)
        consumers.emplace_back(
            [&, i]
            {
                const auto id = "c-" + std::to_string(i);
                const int channel = net::connect_to(
                    fleet.hosts.at(i % 2 == 0 ? "front-1" : "front-2").front);
                auto text = review::request("POST", "/stream/x", id,
                                            time_limit_ms, "a prompt");
                text.insert(text.find("Deadline-Ms"),
                            "Model: m\r\nToken-Usage: 100," +
                                std::to_string(most_out) +
                                "\r\nPrefix-Hash: 1a:50,2" + std::to_string(i) +
                                ":50\r\n");
                net::send_all(channel, text);
                net::reader in(channel);
                in.set_timeout(2 * time_limit_ms);
                answers[i] = in.read(true);
                ::close(channel);
                fleet.note({{"at", net::now_ms()},
                            {"event", "answer"},
                            {"request", id},
                            {"status", answers[i].status()},
                            {"complete", answers[i].complete},
                            {"end", answers[i].fault},
                            {"body", answers[i].body}});
            });
    // All have a replica now, and none has sent its event yet.
    review::sleep_ms(250);
    if (review::trouble())
    {
        std::map<std::string, int> running;
        for (const auto& each : fleet.runs())
            if (each["event"] == "run")
                ++running[each["replica"].get<std::string>()];
        std::string most;
        for (const auto& [id, count] : running)
            if (most.empty() || count > running[most])
                most = id;
        fleet.kill_process(replicas.at(most));
        fleet.note({{"at", net::now_ms()},
                    {"event", "a replica crashes"},
                    {"replica", most},
                    {"requests", running[most]}});
    }
    for (auto& each : consumers)
        each.join();
    review::sleep_ms(300);
    fleet.copy_runs();

    int whole = 0;
    int early = 0;
    for (const auto& each : answers)
    {
        const bool complete = each.complete && each.status() == 200;
        const bool has_event = each.body.find("id: 1\n") != std::string::npos;
        whole += complete && has_event ? 1 : 0;
        early += complete && !has_event ? 1 : 0;
    }
    std::printf("whole streams: %d of %d; streams that ended as complete "
                "before their last event: %d (allowed: 0)\n",
                whole, requests, early);
    fleet.note({{"event", "result"}, {"whole", whole}, {"early", early}});
    if (whole == 0)
        return review::could_not_run;
    return early > 0 ? review::broken : review::held;
}
