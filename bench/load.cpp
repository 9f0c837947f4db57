// Load generator: sends streamed model requests to routers or engines in an
// open loop, with Poisson arrivals, and prints one JSON document of the
// results.

#include <algorithm> // sort
#include <atomic>    // atomic
#include <chrono>    // duration, steady_clock
#include <iostream>  // cout
#include <mutex>     // lock_guard, mutex
#include <random>    // exponential_distribution, mt19937_64
#include <sstream>   // istringstream
#include <string>    // string
#include <thread>    // thread
#include <vector>    // vector

#include <gflags/gflags.h>   // DEFINE_string
#include <httplib.h>         // Client
#include <nlohmann/json.hpp> // json

DEFINE_string(targets, "", "\"ip:port\" of routers, separated by commas");
DEFINE_string(baseline, "",
              "\"ip:port\" of an engine to send every second request to");
DEFINE_string(keys, "customer-key", "bearer keys, separated by commas");
DEFINE_double(rate, 50, "requests a second, Poisson arrivals");
DEFINE_int32(seconds, 10, "length of the run in seconds");
DEFINE_int32(max_tokens, 20, "max_tokens of each request");
DEFINE_int32(seed, 1, "seed of the arrivals");
DEFINE_string(model, "m", "model of each request");

namespace
{

using nlohmann::json;
using std::chrono::duration;
using std::chrono::steady_clock;

struct sample
{
    bool good = false;    ///< the stream ended with `[DONE]`
    bool refused = false; ///< a status of 400 or above
    double first_byte_ms = 0;
    double whole_ms = 0; ///< until the response ended
};

struct samples
{
    std::mutex mutex;
    std::vector<sample> all;

    void add(const sample& each)
    {
        const std::lock_guard lock(mutex);
        all.push_back(each);
    }
};

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

double ms_since(steady_clock::time_point start_time)
{
    return duration<double, std::milli>(steady_clock::now() - start_time)
        .count();
}

sample send_request(const std::string& target, const std::string& key,
                    const std::string& id)
{
    httplib::Client client("http://" + target);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(60);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + key},
                       {"X-Request-Id", id}};
    request.body =
        json{{"model", FLAGS_model},
             {"stream", true},
             {"max_tokens", FLAGS_max_tokens},
             {"messages", {{{"role", "user"}, {"content", "hello"}}}}}
            .dump();
    sample result;
    std::string last_bytes;
    const auto start_time = steady_clock::now();
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (result.first_byte_ms == 0)
            result.first_byte_ms = ms_since(start_time);
        last_bytes = (last_bytes + std::string(data, size));
        last_bytes.erase(0,
                         last_bytes.size() > 64 ? last_bytes.size() - 64 : 0);
        return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    client.send(request, response, error);
    result.whole_ms = ms_since(start_time);
    result.good = last_bytes.ends_with("data: [DONE]\n\n");
    result.refused = response.status >= 400;
    return result;
}

json summary(const std::vector<sample>& all)
{
    std::vector<double> first;
    std::vector<double> whole;
    int good = 0;
    int refused = 0;
    for (const auto& each : all)
    {
        good += each.good ? 1 : 0;
        refused += each.refused ? 1 : 0;
        if (!each.good)
            continue;
        first.push_back(each.first_byte_ms);
        whole.push_back(each.whole_ms);
    }
    std::sort(first.begin(), first.end());
    std::sort(whole.begin(), whole.end());
    const auto quantile = [](const std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0.0;
        const auto last = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(share * last)];
    };
    return {{"requests", all.size()},
            {"good", good},
            {"refused", refused},
            {"goodput", good / double(FLAGS_seconds)},
            {"first_byte_ms_p50", quantile(first, 0.5)},
            {"first_byte_ms_p95", quantile(first, 0.95)},
            {"whole_ms_p50", quantile(whole, 0.5)},
            {"whole_ms_p95", quantile(whole, 0.95)}};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "sends model requests and prints a summary of the responses.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto targets = split(FLAGS_targets);
    const auto keys = split(FLAGS_keys);
    std::mt19937_64 random(static_cast<std::uint64_t>(FLAGS_seed));
    std::exponential_distribution<double> arrival_gap_s(FLAGS_rate);
    samples routed;
    samples direct;
    std::vector<std::thread> callers;
    const auto start_time = steady_clock::now();
    double arrival_s = arrival_gap_s(random);
    for (int number = 0; arrival_s < FLAGS_seconds;
         ++number, arrival_s += arrival_gap_s(random))
    {
        std::this_thread::sleep_until(start_time + duration<double>(arrival_s));
        const auto id =
            "load-" + std::to_string(FLAGS_seed) + "-" + std::to_string(number);
        const bool to_baseline = !FLAGS_baseline.empty() && number % 2 == 1;
        const auto& target =
            to_baseline ? FLAGS_baseline : targets[random() % targets.size()];
        const auto& key = keys[random() % keys.size()];
        callers.emplace_back(
            [&, target, key, id, to_baseline]
            {
                (to_baseline ? direct : routed)
                    .add(send_request(target, key, id));
            });
    }
    for (auto& caller : callers)
        caller.join();
    json report{{"rate", FLAGS_rate}, {"routed", summary(routed.all)}};
    if (!FLAGS_baseline.empty())
        report["direct"] = summary(direct.all);
    std::cout << report.dump() << std::endl;
}
