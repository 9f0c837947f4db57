// A tenant whose budget is spent on a route of kind "stream", and on one of
// kind "idempotent" that a new desired state adds.
//
// usage: overspend FOLDER

#include <atomic>

#include "fleet.hpp"

namespace
{

using review::json;

constexpr int time_limit_ms = 3000;
constexpr int prepaid = 20000;
constexpr int prompt = 10;
constexpr int most_out = 200;
constexpr int requests = 400; ///< 4.2 times what the budget covers

json model_route(const std::string& prefix, const std::string& kind)
{
    auto route = review::route(prefix, kind, "pool", time_limit_ms);
    route["stickySessions"] = true;
    return route;
}

json state(int version, json routes)
{
    auto state = review::desired_state(
        version, std::move(routes),
        json::array({json{
            {"name", "pool"},
            {"healthPath", "/healthz"},
            {"maxConnections", 620},
            {"engine",
             {{"slots", 128}, {"kvCapacityTokens", 652207}, {"stride", 4}}}}}));
    state["tenants"][0]["prepaid"] = prepaid;
    return state;
}

} // namespace

int main(int, char** arguments)
{
    review::fleet fleet(arguments[1]);
    const auto stream = model_route("/stream/", "stream");
    fleet.write_object("config", "main", state(1, json::array({stream})));
    for (const auto* id : {"i-1", "i-2"})
        fleet.start_replica(id, "pool", "v1", {"stride=4"});
    for (const auto* name : {"front-1", "front-2"})
        fleet.start_host(name, review::usual_bounds());
    for (const auto* name : {"front-1", "front-2"})
        fleet.wait_ready(name);
    review::sleep_ms(4000); // the contact bound: all are in touch
    if (review::trouble())
    {
        fleet.write_object(
            "config", "main",
            state(2,
                  json::array({stream, model_route("/whole/", "idempotent")})));
        review::sleep_ms(3000); // configApplyMs and more
    }

    std::map<int, int> statuses;
    long long delivered = 0;
    std::mutex mutex;
    std::vector<std::thread> consumers;
    for (int number = 0; number < 4; ++number)
        consumers.emplace_back(
            [&, number]
            {
                const int port =
                    fleet.hosts.at(number % 2 == 0 ? "front-1" : "front-2")
                        .front;
                for (int i = 0; i < requests / 4; ++i)
                {
                    const auto id =
                        "c" + std::to_string(number) + "-" + std::to_string(i);
                    const int channel = net::connect_to(port);
                    auto text = review::request(
                        "POST", review::trouble() ? "/whole/x" : "/stream/x",
                        id, time_limit_ms, "a prompt");
                    text.insert(
                        text.find("Deadline-Ms"),
                        "Model: m\r\nToken-Usage: " + std::to_string(prompt) +
                            "," + std::to_string(most_out) +
                            "\r\nPrefix-Hash: 1a:5,2b:5\r\n");
                    net::send_all(channel, text);
                    net::reader in(channel);
                    in.set_timeout(2 * time_limit_ms);
                    const auto answer = in.read(true);
                    ::close(channel);
                    int tokens = 0;
                    for (std::size_t at = 0;
                         (at = answer.body.find("token", at)) !=
                         std::string::npos;
                         ++at)
                        ++tokens;
                    if (answer.status() != 200)
                        tokens = 0;
                    {
                        const std::lock_guard lock(mutex);
                        ++statuses[answer.status()];
                        delivered += tokens;
                    }
                    fleet.note({{"at", net::now_ms()},
                                {"event", "answer"},
                                {"request", id},
                                {"status", answer.status()},
                                {"tokens", tokens}});
                    review::sleep_ms(40);
                }
            });
    for (auto& each : consumers)
        each.join();
    review::sleep_ms(500);
    fleet.copy_runs();

    long long read = 0;
    for (const auto& each : fleet.runs())
        if (each["event"] == "generated" && each["tenant"] == "tenant-a")
            read += each["in"].get<int>();
    std::printf("prepaid: %d; tokens read: %lld; tokens delivered: %lld; "
                "statuses:",
                prepaid, read, delivered);
    for (const auto& [status, count] : statuses)
        std::printf(" %d: %d", status, count);
    std::puts("");
    fleet.note({{"event", "result"},
                {"prepaid", prepaid},
                {"read", read},
                {"delivered", delivered}});
    if (statuses[200] == 0)
        return review::could_not_run;
    return read + delivered > prepaid ? review::broken : review::held;
}
