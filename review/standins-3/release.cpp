// The replicas of a service are replaced one after the other while they stream.
//
// usage: release FOLDER

#include "fleet.hpp"

namespace
{

using review::json;

constexpr int time_limit_ms = 15000;
constexpr int replicas = 14;
constexpr int replaced = 6; ///< a share of 0.43
constexpr int gap_ms = 830;
constexpr int consumers = 56;

net::message ask(int channel, net::reader& in, const std::string& id,
                 int tokens)
{
    auto text = review::request("POST", "/stream/" + std::to_string(tokens), id,
                                time_limit_ms, "a prompt");
    text.insert(text.find("Deadline-Ms"),
                "Model: m\r\nToken-Usage: 100,400\r\nPrefix-Hash: 1a:50," +
                    std::to_string(tokens) + ":50\r\n");
    net::send_all(channel, text);
    return in.read(true);
}

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
    const std::vector<std::string> options{"stride=4", "unframed=1",
                                           "work_ms=240"};
    std::vector<pid_t> old;
    for (int i = 1; i <= replicas; ++i)
        old.push_back(fleet.start_replica("i-old-" + std::to_string(i), "pool",
                                          "v1", options));
    for (const auto* name : {"front-1", "front-2"})
        fleet.start_host(name, review::usual_bounds());
    for (const auto* name : {"front-1", "front-2"})
        fleet.wait_ready(name);
    review::sleep_ms(4000); // the contact bound: all are in touch

    std::vector<net::message> answers(consumers);
    std::vector<int> tokens(consumers);
    std::vector<std::thread> threads;
    for (int i = 0; i < consumers; ++i)
        threads.emplace_back(
            [&, i]
            {
                const int channel = net::connect_to(
                    fleet.hosts.at(i % 2 == 0 ? "front-1" : "front-2").front);
                net::reader in(channel);
                in.set_timeout(time_limit_ms);
                const auto name = "c" + std::to_string(i);
                ask(channel, in, name + "-1", 4); // the channel is kept
                // 10.5 to 13 s
                tokens[i] = 176 + 4 * (i * 5 % 11);
                answers[i] = ask(channel, in, name + "-2", tokens[i]);
                ::close(channel);
                fleet.note({{"at", net::now_ms()},
                            {"event", "answer"},
                            {"request", name + "-2"},
                            {"status", answers[i].status()},
                            {"bytes", answers[i].body.size()},
                            {"complete", answers[i].complete},
                            {"end", answers[i].fault}});
            });
    review::sleep_ms(1500);
    if (review::trouble())
        for (int i = 1; i <= replaced; ++i)
        {
            fleet.start_replica("i-new-" + std::to_string(i), "pool", "v1",
                                options);
            review::sleep_ms(gap_ms);
            fleet.note({{"at", net::now_ms()},
                        {"event", "a replica is replaced"},
                        {"replica", "i-old-" + std::to_string(i)}});
            ::kill(old[i - 1], SIGTERM);
        }
    for (auto& each : threads)
        each.join();
    review::sleep_ms(3000);
    fleet.copy_runs();

    std::map<std::string, bool> sent;
    for (const auto& each : fleet.runs())
        if (each["event"] == "generated")
            sent[each["request"].get<std::string>()] = true;
    int lost = 0;
    for (int i = 0; i < consumers; ++i)
        if (!answers[i].complete && sent["c" + std::to_string(i) + "-2"])
            ++lost;
    std::printf("streams that replicas sent to their end: %zu of %d; channels "
                "closed without a whole answer to one of these: %d (allowed: "
                "3)\n",
                sent.size(), 2 * consumers, lost);
    fleet.note({{"event", "result"}, {"sent", sent.size()}, {"lost", lost}});
    if (sent.size() < 2 * consumers)
        return review::could_not_run;
    return lost > 3 ? review::broken : review::held;
}
