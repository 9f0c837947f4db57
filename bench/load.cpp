// The load program: open-loop arrivals of model requests at one or more
// routers or engines; prints one JSON document.

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
DEFINE_string(baseline, "", "\"ip:port\" of an engine to ask side by side");
DEFINE_string(keys, "customer-key", "bearer keys, separated by commas");
DEFINE_double(rate, 50, "requests a second, Poisson arrivals");
DEFINE_int32(seconds, 10, "length of the run");
DEFINE_int32(max_tokens, 20, "tokens of a request");
DEFINE_int32(seed, 1, "seed of the arrivals");
DEFINE_string(model, "m", "model asked for");

namespace
{

using nlohmann::json;
using std::chrono::duration;
using std::chrono::steady_clock;

struct sample
{
    bool good = false;
    bool refused = false;
    double first_byte_ms = 0;
    double whole_ms = 0;
};

struct samples
{
    std::mutex mutex;
    std::vector<sample> all;

    void add(const sample& one)
    {
        const std::lock_guard lock(mutex);
        all.push_back(one);
    }
};

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

double ms_since(steady_clock::time_point begin)
{
    return duration<double, std::milli>(steady_clock::now() - begin).count();
}

sample ask(const std::string& target, const std::string& key,
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
    sample got;
    std::string tail;
    const auto begin = steady_clock::now();
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (got.first_byte_ms == 0)
            got.first_byte_ms = ms_since(begin);
        tail = (tail + std::string(data, size));
        tail.erase(0, tail.size() > 64 ? tail.size() - 64 : 0);
        return true;
    };
    httplib::Response response;
    auto problem = httplib::Error::Success;
    client.send(request, response, problem);
    got.whole_ms = ms_since(begin);
    got.good = tail.ends_with("data: [DONE]\n\n");
    got.refused = response.status >= 400;
    return got;
}

json summary(const std::vector<sample>& all)
{
    std::vector<double> first;
    std::vector<double> whole;
    int good = 0;
    int refused = 0;
    for (const auto& one : all)
    {
        good += one.good ? 1 : 0;
        refused += one.refused ? 1 : 0;
        if (!one.good)
            continue;
        first.push_back(one.first_byte_ms);
        whole.push_back(one.whole_ms);
    }
    std::sort(first.begin(), first.end());
    std::sort(whole.begin(), whole.end());
    const auto at = [](const std::vector<double>& values, double share)
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
            {"first_byte_ms_p50", at(first, 0.5)},
            {"first_byte_ms_p95", at(first, 0.95)},
            {"whole_ms_p50", at(whole, 0.5)},
            {"whole_ms_p95", at(whole, 0.95)}};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("sends model requests and prints what came back.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto targets = split(FLAGS_targets);
    const auto keys = split(FLAGS_keys);
    std::mt19937_64 random(static_cast<std::uint64_t>(FLAGS_seed));
    std::exponential_distribution<double> gap(FLAGS_rate);
    samples routed;
    samples direct;
    std::vector<std::thread> callers;
    const auto begin = steady_clock::now();
    double due = gap(random);
    for (int number = 0; due < FLAGS_seconds; ++number, due += gap(random))
    {
        std::this_thread::sleep_until(begin + duration<double>(due));
        const auto id =
            "load-" + std::to_string(FLAGS_seed) + "-" + std::to_string(number);
        const bool to_baseline = !FLAGS_baseline.empty() && number % 2 == 1;
        const auto& target =
            to_baseline ? FLAGS_baseline : targets[random() % targets.size()];
        const auto& key = keys[random() % keys.size()];
        callers.emplace_back(
            [&, target, key, id, to_baseline]
            {
                (to_baseline ? direct : routed).add(ask(target, key, id));
            });
    }
    for (auto& caller : callers)
        caller.join();
    json report{{"rate", FLAGS_rate}, {"routed", summary(routed.all)}};
    if (!FLAGS_baseline.empty())
        report["direct"] = summary(direct.all);
    std::cout << report.dump() << std::endl;
}
