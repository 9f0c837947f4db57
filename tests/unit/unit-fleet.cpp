// Route look-up, endpoints during outages of the store, retries, the choice of
// an endpoint and trials of new versions.

#include <chrono> // seconds
#include <string> // string
#include <vector> // vector

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/fleet/configuration_lag.hpp> // configuration_overdue
#include <rhubarbgrade/detail/fleet/deployment.hpp>        // find_route
#include <rhubarbgrade/detail/fleet/endpoint_book.hpp>     // endpoint_registry
#include <rhubarbgrade/detail/moves/trial.hpp>             // decide_trial
#include <rhubarbgrade/detail/placing/place.hpp>           // place
#include <rhubarbgrade/detail/routing/repeat.hpp>          // may_repeat
#include <rhubarbgrade/detail/routing/shared_retry.hpp>    // acquire_retry

using namespace rhubarbgrade;
using std::chrono::seconds;

namespace
{

const time_point_t start = time_point_t{} + seconds(1000);

endpoint_entry entry_of(const std::string& id)
{
    endpoint_entry entry;
    entry.id = id;
    entry.service = "registry";
    entry.version = "v1";
    return entry;
}

route route_of(const std::string& prefix)
{
    route result;
    result.host = "a.example";
    result.path_prefix = prefix;
    result.services.push_back({"registry", 1});
    return result;
}

} // namespace

TEST_CASE("the longest matching path prefix wins", "[fleet]")
{
    deployment configuration;
    configuration.routes = {route_of("/"), route_of("/a/"), route_of("/a/b/")};
    build_indexes(configuration);
    const auto prefix_of = [&](std::string_view path)
    {
        const auto* found = find_route(configuration, "a.example", path);
        return found == nullptr ? "none" : found->path_prefix;
    };
    CHECK(prefix_of("/a/b/c") == "/a/b/");
    CHECK(prefix_of("/a/b") == "/a/");
    CHECK(prefix_of("/ab/") == "/");
    CHECK(prefix_of("/a/bc/d") == "/a/");
    CHECK(find_route(configuration, "b.example", "/a/") == nullptr);
    CHECK(find_route(configuration, "a.example", "") == nullptr);
}

TEST_CASE("an endpoint removed after a store outage is kept for a grace period",
          "[fleet]")
{
    endpoint_registry book;
    record_store_call(book, true, start);
    upsert_endpoint(book, entry_of("e1"), start);
    upsert_endpoint(book, entry_of("e2"), start);
    const auto outage = start + seconds(10);
    record_store_call(book, false, outage);
    const auto recovered = outage + seconds(6);
    record_store_call(book, true, recovered);
    remove_endpoint(book, "e1", recovered);
    CHECK(usable_endpoints(book, recovered + milliseconds(500)).size() == 2);
    SECTION("it is registered again")
    {
        upsert_endpoint(book, entry_of("e1"), recovered + milliseconds(900));
        CHECK(usable_endpoints(book, recovered + seconds(5)).size() == 2);
    }
    SECTION("it is not registered again")
    {
        CHECK(usable_endpoints(book, recovered + lapse_grace).size() == 1);
    }
}

TEST_CASE("one of many endpoints removed after an outage goes at once",
          "[fleet]")
{
    endpoint_registry book;
    record_store_call(book, true, start);
    for (const auto* id : {"e1", "e2", "e3", "e4"})
        upsert_endpoint(book, entry_of(id), start);
    record_store_call(book, false, start + seconds(10));
    const auto recovered = start + seconds(16);
    record_store_call(book, true, recovered);
    remove_endpoint(book, "e1", recovered);
    CHECK(usable_endpoints(book, recovered).size() == 3);
}

// Guards against taking one failed call for an outage: requests went on to an
// endpoint that had left, until the next answer of the watch and 2 s more.
TEST_CASE("an endpoint that leaves after a watch was cut off goes at once",
          "[fleet]")
{
    const int endpoints = GENERATE(1, 2, 3, 5);
    const int cuts = GENERATE(1, 2, 3);
    const int gap_ms = GENERATE(300, 1100, 4500);
    const int phase_ms = GENERATE(0, 350, 900);
    for (int removed_ms = 0; removed_ms < 16000; removed_ms += 250)
    {
        endpoint_registry book;
        for (int i = 0; i < endpoints; ++i)
            upsert_endpoint(book, entry_of("e" + std::to_string(i)), start);
        // A sign of life each second, and the watches that are cut.
        for (int ms = 0; ms <= removed_ms + 1000; ms += 50)
        {
            const auto now = start + milliseconds(ms);
            if (ms % 1000 == phase_ms)
                record_store_call(book, true, now);
            if (ms >= 2000 && (ms - 2000) % gap_ms == 0 &&
                (ms - 2000) / gap_ms < cuts)
                record_store_call(book, false, now);
            if (ms == removed_ms)
                remove_endpoint(book, "e0", now);
            if (ms < removed_ms)
                continue;
            CAPTURE(endpoints, cuts, gap_ms, phase_ms, removed_ms, ms);
            REQUIRE(usable_endpoints(book, now).size() ==
                    static_cast<std::size_t>(endpoints - 1));
        }
    }
}

// Guards the other side: an outage in which entries can lapse is recognized,
// whenever the signs of life fail in it and however late they show it.
TEST_CASE("entries that lapse in an outage are kept until they can be back",
          "[fleet]")
{
    const int outage_ms = GENERATE(2400, 3000, 3600, 8000, 20000);
    const int timeout_ms = GENERATE(0, 700);
    const int removed_after_ms = GENERATE(0, 500, 1900);
    for (int phase_ms = 0; phase_ms < 1000; phase_ms += 50)
    {
        endpoint_registry book;
        for (const auto* id : {"e1", "e2", "e3", "e4"})
            upsert_endpoint(book, entry_of(id), start);
        const auto down = start + seconds(10);
        const auto up = down + milliseconds(outage_ms);
        time_point_t back{};
        auto call = start + milliseconds(phase_ms);
        while (back == time_point_t{})
        {
            const bool answered = call < down || call >= up;
            const auto ended =
                call + (answered ? milliseconds(0) : milliseconds(timeout_ms));
            record_store_call(book, answered, ended);
            if (answered && call >= up)
                back = call;
            call = ended + seconds(1);
        }
        const auto removed = back + milliseconds(removed_after_ms);
        remove_endpoint(book, "e1", removed);
        remove_endpoint(book, "e2", removed);
        CAPTURE(outage_ms, timeout_ms, removed_after_ms, phase_ms);
        CHECK(usable_endpoints(book, back + lapse_grace - milliseconds(1))
                  .size() == 4);
        CHECK(usable_endpoints(book, back + lapse_grace).size() == 2);
    }
}

TEST_CASE("a removal without an outage takes effect at once", "[fleet]")
{
    endpoint_registry book;
    record_store_call(book, true, start);
    upsert_endpoint(book, entry_of("e1"), start);
    remove_endpoint(book, "e1", start + seconds(20));
    CHECK(usable_endpoints(book, start + seconds(20)).empty());
}

TEST_CASE("a leaving endpoint is unusable, also in an outage", "[fleet]")
{
    endpoint_registry book;
    record_store_call(book, true, start);
    auto entry = entry_of("e1");
    entry.leaving = true;
    upsert_endpoint(book, entry, start);
    record_store_call(book, false, start);
    remove_endpoint(book, "e1", start);
    CHECK(usable_endpoints(book, start).empty());
}

TEST_CASE("a store that went back to a copy brings no endpoint back",
          "[endpoints][restore]")
{
    endpoint_registry book;
    book.reachable = true;
    book.back_since = start - seconds(60);
    auto leaving = entry_of("leaving");
    auto left = entry_of("left");
    auto again = entry_of("again");
    const auto stays = entry_of("stays");
    replace_endpoints(book, {leaving, left, again, stays}, start);
    const std::vector<endpoint_entry> copy{leaving, left, again, stays};
    leaving.leaving = true;
    upsert_endpoint(book, leaving, start);
    remove_endpoint(book, "left", start);
    remove_endpoint(book, "again", start);
    again.started = 7;
    upsert_endpoint(book, again, start);
    usable_endpoints(book, start);

    const auto restored = start + seconds(2);
    restore_endpoints(book, copy, restored);
    CHECK(usable_endpoints(book, restored) ==
          std::vector<endpoint_entry>{again, stays});

    SECTION("unless its entry outlives its heartbeats")
    {
        CHECK(usable_endpoints(book, restored + entry_lifetime) ==
              std::vector<endpoint_entry>{again, left, stays});
    }
    SECTION("unless it writes its entry again")
    {
        upsert_endpoint(book, left, restored);
        CHECK(usable_endpoints(book, restored) ==
              std::vector<endpoint_entry>{again, left, stays});
    }
}

TEST_CASE("a store that went back to a copy takes no endpoint away at once",
          "[endpoints][restore]")
{
    endpoint_registry book;
    book.reachable = true;
    book.back_since = start - seconds(60);
    const auto old_one = entry_of("old");
    const auto new_one = entry_of("new");
    replace_endpoints(book, {new_one, old_one}, start);
    restore_endpoints(book, {old_one}, start);
    CHECK(usable_endpoints(book, start + lapse_grace - milliseconds(1)) ==
          std::vector<endpoint_entry>{new_one, old_one});
    CHECK(usable_endpoints(book, start + lapse_grace) ==
          std::vector<endpoint_entry>{old_one});
}

// Guards against names that refer to an erased entry: hosts followed no change
// of the list any more once an endpoint of a service with a long name had left.
TEST_CASE("an endpoint leaves whatever the length of its service's name",
          "[fleet]")
{
    const auto length = GENERATE(1U, 12U, 15U, 16U, 24U, 60U, 256U);
    INFO(length);
    endpoint_registry book;
    for (const auto* id : {"i-1", "i-2", "i-3"})
    {
        auto entry = entry_of(id);
        entry.service = std::string(length, 's');
        upsert_endpoint(book, entry, start);
    }
    remove_endpoint(book, "i-1", start);
    const auto usable = usable_endpoints(book, start);
    REQUIRE(usable.size() == 2);
    CHECK(usable[0].id == "i-2");
    CHECK(usable[1].id == "i-3");
}

TEST_CASE("the entries of a host list stay within their memory", "[fleet]")
{
    const auto now = time_point_t() + milliseconds(100000);
    const auto make_entry = [](std::size_t number)
    {
        endpoint_entry entry;
        entry.id = std::to_string(1000000 + number);
        entry.service = "registry";
        entry.zone = std::string(250, 'z');
        entry.version = std::string(250, 'v');
        return entry;
    };
    entry_list list;
    constexpr std::size_t count = 10000;
    for (std::size_t i = 0; i < count; ++i)
        append_entry(list, make_entry(i));
    CHECK(list.bytes <= max_list_bytes);
    CHECK(list.entries.size() + list.left_out == count);
    CHECK(list.left_out != 0);
    // The target size fits with names of that length.
    CHECK(list.entries.size() > 2500);

    endpoint_registry book;
    replace_endpoints(book, list.entries, now);
    CHECK(book.bytes == list.bytes);
    CHECK_FALSE(upsert_endpoint(book, make_entry(count), now));
    // A known entry is replaced, and one that has left makes room.
    auto leaving = make_entry(0);
    leaving.leaving = true;
    CHECK(upsert_endpoint(book, leaving, now));
    CHECK(usable_endpoints(book, now).size() == list.entries.size() - 1);
    remove_endpoint(book, leaving.id, now);
    usable_endpoints(book, now);
    CHECK(upsert_endpoint(book, make_entry(count), now));
    CHECK(book.bytes == list.bytes);
}

TEST_CASE("a non-idempotent request is retried only if it did not run",
          "[repeat]")
{
    retry_context context;
    context.kind = call_kind::non_idempotent;
    context.sends = 1;
    context.runs = 1;
    context.max_runs = 3;
    context.left = milliseconds(1000);
    context.end = attempt_outcome::may_have_run;
    CHECK(may_repeat(context) == retry_decision::never);
    context.end = attempt_outcome::failed;
    CHECK(may_repeat(context) == retry_decision::never);
    context.end = attempt_outcome::refused;
    CHECK(may_repeat(context) == retry_decision::budgeted);
    context.end = attempt_outcome::not_sent;
    CHECK(may_repeat(context) == retry_decision::free);
    context.left = milliseconds(1);
    CHECK(may_repeat(context) == retry_decision::never);
}

TEST_CASE("a stream is resumed elsewhere only where its route allows it",
          "[repeat]")
{
    retry_context context;
    context.kind = call_kind::stream;
    context.sends = 1;
    context.runs = 1;
    context.max_runs = 2;
    context.answer_begun = true;
    context.events_begun = true;
    context.left = milliseconds(1000);
    CHECK(may_repeat(context) == retry_decision::never);
    context.resumable = true;
    CHECK(may_repeat(context) == retry_decision::budgeted);
    context.runs = 2;
    CHECK(may_repeat(context) == retry_decision::never);
}

TEST_CASE("an answer that has begun is continued only by a stream's events",
          "[repeat]")
{
    retry_context context;
    context.resumable = true;
    context.sends = 1;
    context.runs = 1;
    context.max_runs = 2;
    context.answer_begun = true;
    context.left = milliseconds(1000);
    for (const auto kind : {call_kind::stream, call_kind::idempotent})
        for (const auto end :
             {attempt_outcome::may_have_run, attempt_outcome::refused,
              attempt_outcome::failed, attempt_outcome::not_sent})
        {
            context.kind = kind;
            context.end = end;
            CHECK(may_repeat(context) == retry_decision::never);
        }
    context.kind = call_kind::stream;
    context.end = attempt_outcome::may_have_run;
    context.events_begun = true;
    CHECK(may_repeat(context) == retry_decision::budgeted);
}

TEST_CASE("hosts together stay within the retry limit in any window",
          "[repeat]")
{
    shared_retry_limit limit;
    limit.ratio = 0.2;
    limit.slack = 54;
    limit.hosts = 7;
    std::vector<retry_counts> hosts(limit.hosts);
    int retries = 0;
    const int requests = 700;
    for (int i = 0; i < requests; ++i)
    {
        auto& counts = hosts[static_cast<std::size_t>(i) % hosts.size()];
        const auto now = start + milliseconds(i * 10);
        count_first_attempt(counts, limit, now);
        retries += acquire_retry(counts, limit, now) ? 1 : 0;
        retries += acquire_retry(counts, limit, now) ? 1 : 0;
    }
    CHECK(retries <= limit.ratio * requests + limit.slack);
    CHECK(retries > 0);
}

TEST_CASE("prompts go to the endpoint that caches their prefix, unless full",
          "[placing]")
{
    std::uint64_t next = 1;
    const random_source_t random = [&]
    {
        return next += 7;
    };
    std::vector<placing_candidate> candidates(8);
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        candidates[i].identity = 1000 + i;
        candidates[i].limit = 4;
        candidates[i].same_zone = true;
    }
    const placing_request request{77, 6000, 5000};
    const auto preferred = place(candidates, request, {}, random);
    REQUIRE(preferred);
    for (int i = 0; i < 20; ++i)
        candidates[*preferred].cached_tokens = 5000;
    for (int i = 0; i < 20; ++i)
        CHECK(place(candidates, request, {}, random) == preferred);
    candidates[*preferred].in_flight = candidates[*preferred].limit;
    const auto other = place(candidates, request, {}, random);
    REQUIRE(other);
    CHECK(*other != *preferred);
    for (auto& each : candidates)
        each.usable = false;
    CHECK_FALSE(place(candidates, request, {}, random));
}

TEST_CASE("endpoints that fail are avoided", "[placing]")
{
    std::uint64_t next = 1;
    const random_source_t random = [&]
    {
        return next += 7;
    };
    std::vector<placing_candidate> candidates(3);
    for (std::size_t i = 0; i < candidates.size(); ++i)
        candidates[i].limit = 4;
    candidates[1].failure_rate = 0.5;
    for (int i = 0; i < 30; ++i)
        CHECK(place(candidates, {0, 0}, {}, random) != std::size_t{1});
}

TEST_CASE("a version on trial gets a small share until the limit is near",
          "[moves]")
{
    const trial_policy policy;
    const auto limit = seconds(12);
    const auto early_decision = decide_trial({}, seconds(2), limit, policy);
    CHECK(early_decision.state == order_state::running);
    CHECK(early_decision.target_share == policy.warmup_share);
    move_evidence_t samples;
    for (int i = 0; i < 30; ++i)
        add_sample(samples["calm"], true, true, 0.1);
    CHECK(decide_trial(samples, seconds(2), limit, policy).target_share ==
          policy.share);
    const auto late_decision =
        decide_trial({}, limit - milliseconds(600), limit, policy);
    CHECK(late_decision.state == order_state::running);
    CHECK(late_decision.target_share == 1);
    const auto final_decision =
        decide_trial({}, limit - milliseconds(100), limit, policy);
    CHECK(final_decision.state == order_state::succeeded);
}

TEST_CASE("a version that fails or is slow on one route is reverted", "[moves]")
{
    move_evidence_t evidence;
    for (int i = 0; i < 300; ++i)
    {
        add_sample(evidence["calm"], false, i % 10 != 0, 0.1);
        add_sample(evidence["other"], false, true, 0.1);
    }
    SECTION("it fails")
    {
        for (int i = 0; i < 16; ++i)
            add_sample(evidence["calm"], true, i % 2 == 0, 0.1);
    }
    SECTION("it is slow")
    {
        for (int i = 0; i < 16; ++i)
            add_sample(evidence["other"], true, true, 0.4 + 0.01 * i);
    }
    const auto decision = decide_trial(evidence, seconds(4), seconds(12), {});
    CHECK(decision.state == order_state::reverted);
    CHECK(decision.target_share == 0);
    CHECK_FALSE(decision.reason.empty());
}

TEST_CASE(
    "an outdated configuration is not acted on when a peer has a newer one",
    "[fleet]")
{
    const time_point_t start{std::chrono::hours(1)};
    constexpr milliseconds bound{3000};
    CHECK_FALSE(configuration_overdue({}, start, bound));
    CHECK_FALSE(
        configuration_overdue(start, start + milliseconds(1900), bound));
    CHECK(configuration_overdue(start, start + milliseconds(2000), bound));
}
