// The cases of the review that are no days. Usage: cases NAME FOLDER
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "lab.hpp"

using namespace lab;

namespace
{

/// Threads that run until they are joined.
class threads
{
public:
    ~threads()
    {
        join();
    }

    template <typename Function>
    void add(Function function)
    {
        m_threads.emplace_back(std::move(function));
    }

    void join()
    {
        for (auto& each : m_threads)
            each.join();
        m_threads.clear();
    }

private:
    std::vector<std::thread> m_threads;
};

json base_state(int version, json routes, json services)
{
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"limits", make_limits()},
            {"tenants",
             {{{"name", "clerks"}, {"apiKeys", {"k1"}}, {"prepaid", 8866310}},
              {{"name", "others"}, {"apiKeys", {"k2"}}, {"prepaid", 943000}}}}};
}

/// The machines of the smallest installation of the pages: seven in four
/// zones, one of which has one.
void add_hosts(site& where)
{
    for (const auto* zone : {"za", "zb", "zc", "zd"})
        for (const auto* number : {"1", "2"})
            if (*number == '1' || std::string(zone) != "zd")
                where.add_host(
                    {std::string("front-") + zone + "-" + number, zone});
}

json plain_service(const std::string& name)
{
    return {
        {"name", name}, {"healthPath", "/healthz"}, {"maxConnections", 600}};
}

/// Sends requests at a steady rate over kept channels to the hosts in turn, as
/// long as they are in rotation.
struct load
{
    site& where;
    std::atomic<bool> stop = false;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;  ///< 5xx but 503, or no answer
    std::atomic<int> refused = 0; ///< 429 or 503

    void run(int number, double per_s, int deadline_ms,
             const std::function<request_t()>& make)
    {
        const auto& hosts = where.hosts();
        std::map<const host*, channel> channels;
        auto next = now();
        for (std::size_t turn = static_cast<std::size_t>(number); !stop; ++turn)
        {
            next += 1 / per_s;
            sleep_until(next);
            next = std::max(next, now() - 0.5);
            auto& to = *hosts[turn % hosts.size()];
            if (!where.in_rotation(to) || !to.running())
                continue;
            auto& link = channels.try_emplace(&to, to.front()).first->second;
            const auto request = make();
            const auto reply = link.call(request, deadline_ms / 1000.0);
            ++sent;
            const bool is_refusal = reply.status == 503 || reply.status == 429;
            if (reply.status / 100 == 2)
                ++served;
            else if (is_refusal)
                ++refused;
            else
                ++failed;
            where.record().add(
                {{"event", "answer"},
                 {"host", to.options().name},
                 {"request", std::string(request["Request-Id"])},
                 {"path", std::string(request.target())},
                 {"status", reply.status},
                 {"sent", std::round(reply.sent * 1000) / 1000}});
        }
    }
};

int report(site& where, bool broken, json facts)
{
    for (auto& each : where.hosts())
        if (each->ended_by_itself())
            facts["ended by itself"].push_back(each->options().name);
    facts["event"] = "verdict";
    facts["trouble"] = has_trouble();
    facts["rule"] = broken ? "broken" : "held";
    where.record().add(facts);
    std::cout << facts.dump() << std::endl;
    return broken ? rule_broken : rule_held;
}

/// DRAIN: the store cuts off waiting watches; then an endpoint that has not
/// reported "draining" leaves.
int drain(const std::string& folder)
{
    constexpr double drain_s = 2;
    constexpr double contact_s = 3;
    site where(folder);
    add_hosts(where);
    where.publish(
        base_state(3,
                   {make_route("/look/", "idempotent", "desk", 2),
                    make_route("/book/", "non_idempotent", "desk", 1)},
                   {plain_service("desk")}));
    auto& stays = where.add_replica("stays", {"desk", "za"});
    auto& leaves = where.add_replica("leaves", {"desk", "zb"});
    if (!where.start_hosts())
        return could_not_run;
    sleep_for(6);
    load traffic{where};
    threads running;
    for (int i = 0; i < 6; ++i)
        running.add(
            [&traffic, i]
            {
                traffic.run(i, 10, 3000,
                            [i]
                            {
                                return i % 2 == 0
                                           ? make_request(http::verb::get,
                                                          "/look/x", "k1", 3000)
                                           : make_request(http::verb::post,
                                                          "/book/x", "k1", 3000,
                                                          "a booking");
                            });
            });
    sleep_for(3);
    const bool trouble = has_trouble();
    if (trouble)
        where.platform().cut_watches("servers");
    sleep_for(4);
    const auto acknowledged = leaves.leave_unannounced();
    sleep_for(0.5);
    auto last_cut = -1.0;
    if (trouble && std::getenv("REVIEW_ONE_CUT") == nullptr)
    {
        where.platform().cut_watches("servers");
        last_cut = now();
    }
    sleep_for(11.5);
    leaves.exit();
    sleep_for(1);
    traffic.stop = true;
    running.join();
    int before = 0;
    int late = 0;
    int late_in_calm = 0;
    double last = 0;
    for (const auto& each : leaves.arrivals())
    {
        before += each.at < acknowledged ? 1 : 0;
        if (each.at <= acknowledged + drain_s)
            continue;
        ++late;
        late_in_calm += each.at > last_cut + contact_s ? 1 : 0;
        last = each.at - acknowledged;
    }
    if (before == 0 || stays.arrivals().empty())
        return could_not_run;
    return report(
        where, late_in_calm > 0,
        {{"sent", traffic.sent.load()},
         {"served", traffic.served.load()},
         {"refused", traffic.refused.load()},
         {"failed", traffic.failed.load()},
         {"requests at the endpoint before it left", before},
         {"later than drainMs", late},
         {"of these later than contactMs after the last cut", late_in_calm},
         {"last one, s after the acknowledgement", last}});
}

/// EXPOSURE: a bad version of a service with many routes.
int exposure(const std::string& folder)
{
    constexpr double rollback_s = 5;
    constexpr double duration_s = 16;
    constexpr int bad_answers = 50;
    constexpr double per_s = 400;
    constexpr int senders = 40;
    const char* const given = std::getenv("REVIEW_ROUTES");
    const int many = given == nullptr ? 350 : std::atoi(given);
    const int routes = has_trouble() ? many : 5;
    site where(folder);
    add_hosts(where);
    const auto state = [](int version, int count)
    {
        json all = json::array();
        for (int i = 0; i < count; ++i)
            all.push_back(make_route("/r" + std::to_string(i) + "/",
                                     "idempotent", "desk", 2));
        return base_state(version, all, {plain_service("desk")});
    };
    where.publish(state(3, 5));
    std::vector<replica*> old_version;
    std::vector<replica*> new_version;
    for (const auto* zone : {"za", "zb", "zc"})
    {
        replica_options options{"desk", zone};
        options.slots = 32;
        old_version.push_back(
            &where.add_replica(std::string("old-") + zone, options));
    }
    if (!where.start_hosts())
        return could_not_run;
    sleep_for(5);
    if (routes != 5)
        where.publish(state(9, routes));
    sleep_for(3);
    load traffic{where};
    threads running;
    std::atomic<unsigned> number = 0;
    for (int i = 0; i < senders; ++i)
        running.add(
            [&, i]
            {
                traffic.run(i, per_s / senders, 3000,
                            [&]
                            {
                                const auto route = number++ % routes;
                                return make_request(
                                    http::verb::get,
                                    "/r" + std::to_string(route) + "/x", "k1",
                                    3000);
                            });
            });
    sleep_for(4);
    for (const auto* zone : {"za", "zb", "zc"})
    {
        replica_options options{"desk", zone, "v2"};
        options.slots = 32;
        options.bad_share = 0.5;
        new_version.push_back(
            &where.add_replica(std::string("new-") + zone, options));
    }
    const auto ordered = where.platform().put(
        "rollouts", "desk",
        {{"service", "desk"}, {"target", "v2"}, {"durationS", duration_s}});
    constexpr double watched_s = 24;
    std::string state_seen = "none";
    bool old_stopped = false;
    for (const auto until = ordered + watched_s; now() < until; sleep_for(0.05))
    {
        const auto object = where.platform().get("rollouts", "desk");
        if (object && (*object)["status"].is_object())
            state_seen = (*object)["status"].value("state", "none");
        // The platform stops the old replicas at once.
        if (state_seen == "succeeded" && !old_stopped)
        {
            old_stopped = true;
            for (auto* each : old_version)
            {
                each->leave_unannounced();
                each->exit();
            }
        }
    }
    traffic.stop = true;
    running.join();
    std::vector<double> bad;
    std::vector<double> all;
    for (auto* each : new_version)
        for (const auto& seen : each->arrivals())
        {
            all.push_back(seen.at);
            if (seen.failed)
                bad.push_back(seen.at);
        }
    std::sort(bad.begin(), bad.end());
    if (all.empty())
        return could_not_run;
    json facts{{"sent", traffic.sent.load()},
               {"served", traffic.served.load()},
               {"failed", traffic.failed.load()},
               {"refused", traffic.refused.load()},
               {"routes", routes},
               {"requests at the bad version", all.size()},
               {"bad answers", bad.size()},
               {"state at the end", state_seen}};
    std::size_t late = 0;
    std::size_t late_in_trial = 0;
    if (bad.size() >= bad_answers)
    {
        const auto limit = bad[bad_answers - 1] + rollback_s;
        for (const auto each : all)
        {
            late += each > limit ? 1 : 0;
            late_in_trial += each > limit && each < ordered + duration_s - 0.75;
        }
        facts["50th bad answer, s after the order"] =
            bad[bad_answers - 1] - ordered;
    }
    facts["later than rollbackMs after the 50th bad answer"] = late;
    facts["of these before the last 0.75 s of the time limit"] = late_in_trial;
    return report(where, late > 0, facts);
}

/// BUDGET: a request that crashes replicas comes again.
/// @param[in] replicas  of its service
/// @param[in] again_s   time after which it comes again
int poison(const std::string& folder, int replicas, double again_s,
           double watched_s, double per_s)
{
    constexpr double contact_s = 3;
    constexpr int retries_allowed = 3;
    constexpr int crashes_to_know = 3;
    constexpr double down_s = 3;
    constexpr int senders = 12;
    site where(folder);
    add_hosts(where);
    where.publish(base_state(3, {make_route("/look/", "idempotent", "desk", 2)},
                             {plain_service("desk")}));
    const std::vector<std::string> zones{"za", "zb", "zc", "zd"};
    for (int i = 0; i < replicas; ++i)
    {
        replica_options options{"desk", zones[static_cast<std::size_t>(i) % 4]};
        options.down_s = down_s;
        if (has_trouble())
            options.poison = "crash";
        where.add_replica("r" + std::to_string(i), options);
    }
    if (!where.start_hosts())
        return could_not_run;
    sleep_for(6);
    load traffic{where};
    threads running;
    for (int i = 0; i < senders; ++i)
        running.add(
            [&, i]
            {
                traffic.run(i, per_s / senders, 3000,
                            []
                            {
                                return make_request(http::verb::get, "/look/x",
                                                    "k1", 3000);
                            });
            });
    std::atomic<bool> stop = false;
    running.add(
        [&]
        {
            // The same path, caller and body, at any machine.
            auto next = now();
            for (std::size_t turn = 0;; ++turn)
            {
                next += turn == 0 ? 1 : again_s;
                while (!stop && now() < next)
                    sleep_for(0.05);
                if (stop)
                    break;
                auto& to = *where.hosts()[turn % where.hosts().size()];
                if (!where.in_rotation(to))
                    continue;
                channel link(to.front());
                const auto request = make_request(http::verb::post, "/look/y",
                                                  "k2", 3000, "crash");
                const auto reply = link.call(request, 3);
                where.record().add(
                    {{"event", "answer to the crashing request"},
                     {"host", to.options().name},
                     {"request", std::string(request["Request-Id"])},
                     {"status", reply.status},
                     {"sent", reply.sent}});
            }
        });
    sleep_for(watched_s);
    stop = true;
    traffic.stop = true;
    running.join();
    std::vector<double> crashed;
    for (auto& each : where.replicas())
        for (const auto& arrived : each->arrivals())
            if (arrived.path == "/look/y" && arrived.ran)
                crashed.push_back(arrived.at);
    std::sort(crashed.begin(), crashed.end());
    if (crashed.size() < crashes_to_know)
        return could_not_run;
    const auto limit = crashed[crashes_to_know - 1] + contact_s;
    const auto late = has_trouble()
                          ? std::count_if(crashed.begin(), crashed.end(),
                                          [&](double at)
                                          {
                                              return at > limit;
                                          })
                          : 0;
    return report(
        where, late > retries_allowed,
        {{"replicas", replicas},
         {"other requests sent", traffic.sent.load()},
         {"other requests served", traffic.served.load()},
         {"other requests refused", traffic.refused.load()},
         {"other requests failed", traffic.failed.load()},
         {"runs of the crashing request", crashed.size()},
         {"of these later than contactMs after the third crash", late}});
}

/// In a small service, whose replicas it crashes all.
int poison_small(const std::string& folder)
{
    const char* const given = std::getenv("REVIEW_REPLICAS");
    return poison(folder, given == nullptr ? 2 : std::atoi(given), 1, 35, 240);
}

/// In a larger service, twice a minute at most.
int poison_slow(const std::string& folder)
{
    return poison(folder, 6, 31, 98, 24);
}

/// CONFIG: of the three machines of each zone two are lost, one after the
/// other, as the desired state changes.
int losses(const std::string& folder)
{
    constexpr double apply_s = 2;
    constexpr int rounds = 3;
    constexpr double settle_s = 18;
    const char* const given = std::getenv("REVIEW_GAP_MS");
    const double gap_s = given == nullptr ? 1.2 : std::atof(given) / 1000;
    site where(folder);
    std::vector<host*> first;
    std::vector<host*> second;
    std::vector<host*> third;
    // The names decide how long a host waits until it reads the store by
    // itself; these are left with 0.86 to 0.97 of the second that it takes at
    // most.
    const auto add_zone = [&](const std::string& zone, const char* strongest,
                              const char* weaker, const char* left)
    {
        const auto add = [&](const char* number, double cpu_share)
        {
            return &where.add_host(
                {"front-" + zone + "-" + number, zone, cpu_share});
        };
        first.push_back(add(strongest, 0.5));
        second.push_back(add(weaker, 0.25));
        third.push_back(add(left, 0.12));
    };
    add_zone("za", "2", "3", "1");
    add_zone("zb", "1", "2", "3");
    add_zone("zc", "2", "3", "1");
    const auto state = [](int version)
    {
        auto made =
            base_state(version, {make_route("/look/", "idempotent", "desk", 2)},
                       {plain_service("desk")});
        made["tenants"].push_back(
            {{"name", "visitors"},
             {"apiKeys", {"key" + std::to_string(version)}}});
        return made;
    };
    int version = 3;
    where.publish(state(version));
    for (const auto* zone : {"za", "zb", "zc"})
        where.add_replica(std::string("r-") + zone, {"desk", zone});
    if (!where.start_hosts())
        return could_not_run;
    sleep_for(settle_s);
    int late = 0;
    json last_runs = json::array();
    for (int round = 0; round < rounds; ++round)
    {
        const auto lose = [&](const std::vector<host*>& hosts, const char* what)
        {
            if (!has_trouble())
                return;
            where.record().add({{"event", what}});
            for (auto* each : hosts)
                each->kill();
        };
        lose(first, "the first machine of each zone is killed");
        const auto old_key = "key" + std::to_string(version);
        version += 3;
        const auto acknowledged = where.publish(state(version));
        std::mutex mutex;
        threads running;
        for (auto* each : third)
            running.add(
                [&, each]
                {
                    channel link(each->front());
                    double last_run = 0;
                    while (now() < acknowledged + 4.5)
                    {
                        const auto request = make_request(
                            http::verb::get, "/look/x", old_key, 1000);
                        const auto reply = link.call(request, 1);
                        if (reply.status == 200 && reply.signed_by_replica)
                            last_run = reply.sent;
                        where.record().add(
                            {{"event", "answer"},
                             {"host", each->options().name},
                             {"request", std::string(request["Request-Id"])},
                             {"key", old_key},
                             {"status", reply.status},
                             {"sent", reply.sent},
                             {"after the acknowledgement",
                              reply.sent - acknowledged}});
                        sleep_for(0.02);
                    }
                    const std::lock_guard lock(mutex);
                    late += last_run > acknowledged + apply_s ? 1 : 0;
                    last_runs.push_back(std::round(
                        std::max(0.0, last_run - acknowledged) * 1000));
                });
        sleep_until(acknowledged + gap_s);
        if (std::getenv("REVIEW_ONE_LOSS") == nullptr)
            lose(second, "the second machine of each zone is killed");
        running.join();
        if (has_trouble())
        {
            for (const auto* hosts : {&first, &second})
            {
                for (auto* each : *hosts)
                    if (!each->running())
                        each->start();
                if (!where.wait_ready(*hosts, 10))
                    return could_not_run;
            }
        }
        sleep_for(settle_s);
    }
    return report(
        where, late > 0,
        {{"times that a host ran a request with a removed key later "
          "than configApplyMs",
          late},
         {"last such request, ms after the acknowledgement", last_runs}});
}

} // namespace

int main(int argc, char** argv)
try
{
    if (argc != 3)
        return could_not_run;
    const std::map<std::string, int (*)(const std::string&)> all{
        {"drain", drain},
        {"exposure", exposure},
        {"losses", losses},
        {"poison", poison_small},
        {"poison-slow", poison_slow}};
    const auto found = all.find(argv[1]);
    return found == all.end() ? could_not_run : found->second(argv[2]);
}
catch (const std::exception& fault)
{
    std::cerr << "the case could not run: " << fault.what() << "\n";
    return could_not_run;
}
