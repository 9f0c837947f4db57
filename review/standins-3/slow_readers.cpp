// Consumers that read their answers slowly, on kept channels.
//
// usage: slow_readers FOLDER

#include <atomic>

#include "fleet.hpp"

namespace
{

constexpr int time_limit_ms = 15000;
constexpr std::size_t steady_bytes = 180000;
constexpr std::size_t paused_bytes = 48000;

/// A consumer that has a channel open and sends two requests on it. It reads
/// the first answer at once and the second one slowly: either steadily, 1.5 KB
/// each 100 ms, with the receive buffer that the system gives it, or with a
/// small one and after a pause of 5 s.
struct consumer
{
    int number = 0;
    bool steady = false;
    std::size_t bytes() const
    {
        return steady ? steady_bytes : paused_bytes;
    }
    std::string outcome;
    bool whole = false;
    long long took_ms = 0;
};

void run(review::fleet& fleet, int port, consumer& self)
{
    const int channel = net::connect_to(port, self.steady ? 0 : 8192);
    net::reader in(channel);
    in.set_timeout(time_limit_ms);
    for (int i = 1; i <= 2; ++i)
    {
        const auto id =
            "c" + std::to_string(self.number) + "-" + std::to_string(i);
        const auto sent_at = net::now_ms();
        net::send_all(channel,
                      review::request("POST",
                                      self.steady ? "/book/list" : "/book/one",
                                      id, time_limit_ms, "an order"));
        fleet.note({{"at", sent_at}, {"event", "sent"}, {"request", id}});
        if (i == 2 && review::trouble())
        {
            if (self.steady)
                in.set_pace(1500, 100);
            else
                in.pause_once(5000);
        }
        const auto answer = in.read(true);
        self.took_ms = net::now_ms() - sent_at;
        self.whole = answer.complete && answer.status() == 200 &&
                     answer.body.size() == self.bytes();
        self.outcome = answer.complete ? answer.first_line : answer.fault;
        fleet.note({{"at", net::now_ms()},
                    {"event", "answer"},
                    {"request", id},
                    {"status", answer.status()},
                    {"bytes", answer.body.size()},
                    {"whole", self.whole},
                    {"end", self.outcome},
                    {"took_ms", self.took_ms}});
        if (!self.whole)
            break;
    }
    ::close(channel);
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
    for (const auto* id : {"i-1", "i-2"})
        fleet.start_replica(id, "desk", "v1",
                            {"bytes=" + std::to_string(paused_bytes),
                             "list_bytes=" + std::to_string(steady_bytes)});
    for (const auto* name : {"front-1", "front-2"})
        fleet.start_host(name, review::usual_bounds());
    for (const auto* name : {"front-1", "front-2"})
        fleet.wait_ready(name);
    review::sleep_ms(4000); // the contact bound: all are in touch

    std::vector<consumer> consumers(8);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < consumers.size(); ++i)
    {
        consumers[i].number = static_cast<int>(i) + 1;
        consumers[i].steady = i < 4;
        threads.emplace_back(run, std::ref(fleet),
                             fleet.hosts.at(i % 2 == 0 ? "front-1" : "front-2")
                                 .front,
                             std::ref(consumers[i]));
    }
    for (auto& each : threads)
        each.join();
    review::sleep_ms(200);
    fleet.copy_runs();
    int answered = 0;
    for (const auto& each : fleet.runs())
        answered += each["event"] == "answered" ? 1 : 0;
    int lost = 0;
    for (const auto& each : consumers)
        lost += each.whole ? 0 : 1;
    std::printf("answers that replicas sent whole: %d of 16; channels closed "
                "without a whole answer: %d of 8 (allowed: 3)\n",
                answered, lost);
    fleet.note({{"event", "result"}, {"answered", answered}, {"lost", lost}});
    if (answered < 16)
        return review::could_not_run;
    return lost > 3 ? review::broken : review::held;
}
