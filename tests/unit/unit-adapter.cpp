// Decoding by the platform adapter: settings, configuration, store objects and
// request headers; also the datagrams of peers. Malformed
// input must give an error and nothing worse.

#include <random> // mt19937
#include <string> // string

#include <boost/beast/http/field.hpp> // field

#include <catch2/catch.hpp>

#include <platform/boot_settings.hpp>   // decode_settings
#include <platform/caller_codec.hpp>    // decode_call
#include <platform/object_decoders.hpp> // decode_deployment
#include <platform/store_calls.hpp>     // decode_list

#include "../../src/peers/peer_state.hpp"   // decode_datagram
#include "../../src/store/page_cursor.hpp"  // page_cursor
#include "../../src/store/watch_check.hpp"  // judge_watch
#include "../../src/store/watch_margin.hpp" // next_watch_margin

using namespace rhubarbgrade;

namespace
{

constexpr const char* good_settings = R"(
nodeName = "h1"
zone = "z1"
ip = "10.1.0.4"
internalPortRange = [7340, 7355]
unknown = 1
[listen]
front = "10.1.0.4:8227"
ready = "10.1.0.4:8220"
[platform]
address = "10.9.0.1:80"
[bounds]
drainMs = 2500
graceS = 9
)";

platform::stored_object stored_object_of(const std::string& spec)
{
    return {"i-1", 5, 3, spec, {}};
}

} // namespace

TEST_CASE("settings are decoded, and every fault is reported", "[adapter]")
{
    const auto good = platform::decode_settings(good_settings);
    CHECK(good.faults.empty());
    CHECK(good.settings.peers == socket_address{"10.1.0.4", 7340});
    CHECK(good.settings.relay == socket_address{"10.1.0.4", 7341});
    CHECK(good.settings.bounds.drain == milliseconds(2500));
    CHECK(good.settings.bounds.grace == milliseconds(9000));
    CHECK_FALSE(good.settings.bounds.evacuate);
    const auto bounded = platform::decode_settings(std::string(good_settings) +
                                                   "\nevacuateMs = 4000\n");
    CHECK(bounded.faults.empty());
    CHECK(bounded.settings.bounds.evacuate == milliseconds(4000));
    CHECK(good.hedging.share == 0);
    CHECK(platform::decode_settings(std::string(good_settings) +
                                    "[hedging]\nshare = 0.05\n")
              .hedging.share == 0.05);
    const auto above_one = platform::decode_settings(
        std::string(good_settings) + "[hedging]\nshare = 5\n");
    CHECK(above_one.faults.size() == 1);
    CHECK(above_one.hedging.share == 0);
    const auto bad = platform::decode_settings(
        "zone = 3\n[listen]\nfront = \"x:99999\"\n[bounds]\ngraceS = \"a\"\n");
    CHECK(bad.faults.size() >= 5);
    CHECK(platform::decode_settings("a = [").faults.size() == 1);
}

TEST_CASE("a configuration is decoded into the product's types", "[adapter]")
{
    const auto decoded = platform::decode_deployment(R"({"version":7,
        "routes":[{"name":"r","hostname":"a","pathPrefix":"/p/",
          "kind":"stream","timeoutMs":900,"targetLatencyMs":300,
          "trafficSplit":[{"service":"s","weight":90},
                          {"service":"t","weight":10}],
          "maxAttempts":2,"resumable":true}],
        "services":[{"name":"s","coldStartS":2.5,"coldPerS":15.0,
                     "engine":{"slots":8,"stride":4}},
                    {"name":"t"}],
        "tenants":[{"name":"c","apiKeys":["k"],"prepaid":5}]})");
    REQUIRE(decoded);
    CHECK(decoded->version == 7);
    const auto* route = find_route(*decoded, "a", "/p/x");
    REQUIRE(route != nullptr);
    CHECK(route->services.size() == 2);
    CHECK(route->services[1].weight == 10);
    CHECK(route->resumable);
    CHECK(decoded->services.at("s").engine->tokens_per_event == 4);
    CHECK(decoded->services.at("s").cold_time == milliseconds(2500));
    CHECK(decoded->services.at("s").cold_per_s == 15);
    CHECK(decoded->services.at("t").cold_per_s == 0);
    REQUIRE(find_customer(*decoded, "k") != nullptr);
    CHECK(find_customer(*decoded, "k")->prepaid == token_count_t{5});
    CHECK(find_customer(*decoded, "x") == nullptr);
    CHECK_FALSE(platform::decode_deployment("{}"));
}

TEST_CASE("a malformed endpoint object is rejected", "[adapter]")
{
    const std::string good = R"({"service":"s","address":"10.0.0.1:80",
        "zone":"z","version":"v1","slots":4,"state":"draining","born":9})";
    const auto decoded = platform::decode_endpoint(stored_object_of(good));
    REQUIRE(decoded);
    CHECK(decoded->leaving);
    CHECK(decoded->started == 9);
    CHECK(decoded->cold == milliseconds(0));
    const std::string cold = R"({"service":"s","address":"10.0.0.1:80",
        "zone":"z","version":"v1","slots":4,"state":"ready",
        "coldRemainingMs":)";
    CHECK(platform::decode_endpoint(stored_object_of(cold + "1200}"))->cold ==
          milliseconds(1200));
    for (const auto* bad : {"-1}", "null}", "\"1\"}", "1e300}"})
        CHECK_FALSE(platform::decode_endpoint(stored_object_of(cold + bad)));
    for (const auto* bad :
         {"", "[]", "{}", R"({"service":"s","address":"x","zone":"z",
            "version":"v1","slots":4,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","zone":"z",
            "version":"v1","slots":4,"state":"odd"})",
          R"({"service":1,"address":"10.0.0.1:80","zone":"z",
            "version":"v1","slots":4,"state":"ready"})"})
        CHECK_FALSE(platform::decode_endpoint(stored_object_of(bad)));
}

TEST_CASE("a move's final state counts only for its target", "[adapter]")
{
    auto object =
        stored_object_of(R"({"service":"s","target":"v3","durationS":12})");
    object.name = "s";
    CHECK(platform::decode_move(object)->state == order_state::running);
    object.status = R"({"state":"succeeded","target":"v2"})";
    CHECK(platform::decode_move(object)->state == order_state::running);
    object.status = R"({"state":"reverted","target":"v3"})";
    CHECK(platform::decode_move(object)->state == order_state::reverted);
    object.spec = "{}";
    CHECK_FALSE(platform::decode_move(object));
}

TEST_CASE("an evacuation names its zone, whatever its spec has", "[adapter]")
{
    for (const auto* spec : {"", "{}", "null", R"({"since":1})"})
    {
        auto object = stored_object_of(spec);
        object.name = "z1";
        CHECK(platform::decode_evacuation(object) == "z1");
    }
}

TEST_CASE("an entry that is no evacuation is rejected", "[adapter]")
{
    for (const auto& spec : {std::string("[]"), std::string("\xff{"),
                             std::string("{"), std::string(100000, '['),
                             std::string("{}") + std::string(70000, ' ')})
    {
        auto object = stored_object_of(spec);
        object.name = "z1";
        CHECK_FALSE(platform::decode_evacuation(object));
    }
    auto object = stored_object_of("{}");
    object.name = std::string(300, 'z');
    CHECK_FALSE(platform::decode_evacuation(object));
    object.name = "z1\r\n";
    CHECK_FALSE(platform::decode_evacuation(object));
    object.name.clear();
    CHECK_FALSE(platform::decode_evacuation(object));
}

TEST_CASE("hop-by-hop and internal headers are dropped, others are forwarded",
          "[adapter]")
{
    platform::fields_t incoming;
    incoming.insert("Request-Id", "r1");
    incoming.insert("Authorization", "Token k1");
    incoming.insert("Token-Usage", "1460,80");
    incoming.insert("Prefix-Hash", "5c1e07a2:800,zz:1,e4402b7d:250");
    incoming.insert("Deadline-Ms", "900");
    incoming.insert("Tenant-Id", "forged");
    incoming.insert("Kv-From", "10.0.0.1:1/x");
    incoming.insert("Pin-Ms", "100");
    incoming.insert("X-Own", "kept");
    incoming.insert("X-Hop", "dropped");
    incoming.insert(boost::beast::http::field::connection,
                    "X-Hop, Token-Usage, keep-alive");
    const auto head = platform::decode_call(incoming);
    CHECK(head.id == "r1");
    CHECK(head.key == "k1");
    CHECK(head.prompt_tokens == 1460);
    CHECK(head.answer_tokens_limit == 80);
    CHECK(head.parts.size() == 2);
    CHECK(head.deadline == milliseconds(900));
    platform::fields_t outgoing;
    platform::copy_call_headers(incoming, outgoing);
    platform::set_forward_head({"i-1", "clerks", milliseconds(800), 4, {}},
                               outgoing);
    for (const auto* removed :
         {"Authorization", "Kv-From", "Pin-Ms", "X-Hop", "Connection"})
        CHECK(outgoing.find(removed) == outgoing.end());
    CHECK(outgoing["Token-Usage"] == "1460,80");
    CHECK(outgoing["X-Own"] == "kept");
    CHECK(outgoing["Tenant-Id"] == "clerks");
    CHECK(outgoing["Deadline-Ms"] == "800");
    CHECK(outgoing["Last-Event-Id"] == "4");
    CHECK(outgoing.count("Tenant-Id") == 1);
}

TEST_CASE("peer datagrams round-trip, and malformed ones are rejected",
          "[adapter]")
{
    peer_heartbeat beat;
    beat.host = "h1";
    beat.configuration = 7;
    beat.store_answers = true;
    beat.crashes.crashes.push_back(
        {5, milliseconds(70), {{11, {2, true}}, {12, {0, false}}}});
    beat.crashes.quarantined.push_back({13, milliseconds(900), true});
    beat.evidence.push_back({"s", "v2", {}});
    add_sample(beat.evidence[0].routes["r"], true, false, 0.2);
    const auto bytes = encode_heartbeat(beat);
    const auto datagram = decode_datagram(bytes);
    REQUIRE(datagram);
    const auto* const decoded = std::get_if<peer_heartbeat>(&*datagram);
    REQUIRE(decoded != nullptr);
    CHECK(decoded->host == "h1");
    CHECK(decoded->store_answers);
    REQUIRE(decoded->crashes.crashes.size() == 1);
    const auto& crash = decoded->crashes.crashes[0];
    CHECK(crash.process == 5);
    CHECK(crash.age == milliseconds(70));
    REQUIRE(crash.suspects.size() == 2);
    CHECK(crash.suspects.at(11).depth == 2);
    CHECK(crash.suspects.at(11).cleared);
    CHECK_FALSE(crash.suspects.at(12).cleared);
    REQUIRE(decoded->crashes.quarantined.size() == 1);
    const auto& quarantine = decoded->crashes.quarantined[0];
    CHECK(quarantine.suspect == 13);
    CHECK(quarantine.age == milliseconds(900));
    CHECK(quarantine.released);
    CHECK(decoded->evidence[0].routes.at("r").to_all.errors == 1);
    const witness_message sent{
        {"h1", "1"}, {"h2", "9"}, {{"clerks", 70}}, true};
    const auto received = decode_datagram(encode_witness(sent));
    REQUIRE(received);
    const auto* const message = std::get_if<witness_message>(&*received);
    REQUIRE(message != nullptr);
    CHECK(message->witness == sent.witness);
    CHECK(message->ceilings == sent.ceilings);
    CHECK(message->confirmed);
    std::mt19937 random(7); // NOLINT(cert-msc51-cpp): fixed for CI
    for (int i = 0; i < 2000; ++i)
    {
        auto noise = bytes;
        for (int k = 0; k < 3; ++k)
            noise[random() % noise.size()] = static_cast<char>(random());
        noise.resize(random() % (noise.size() + 1));
        static_cast<void>(decode_datagram(noise));
        static_cast<void>(decode_state(noise));
        static_cast<void>(platform::decode_list(noise));
    }
    CHECK_FALSE(decode_datagram("no message"));
}

TEST_CASE("a watch on a slow link is not given up again and again", "[adapter]")
{
    auto margin = min_watch_margin;
    for (int i = 0; i < 5; ++i)
        margin = next_watch_margin(margin, call_outcome::unknown);
    CHECK(margin >= milliseconds(2000));
    const auto longest = margin;
    CHECK(next_watch_margin(margin, call_outcome::unknown) == longest);
    CHECK(next_watch_margin(margin, call_outcome::not_sent) ==
          min_watch_margin);
    for (int i = 0; i < 5; ++i)
        margin = next_watch_margin(margin, call_outcome::answered);
    CHECK(margin == min_watch_margin);
}

TEST_CASE("a watch counts as sound only by a copy that is known to be recent",
          "[adapter]")
{
    const time_point_t needed = time_point_t() + milliseconds(1000);
    const auto recent = needed + milliseconds(1);
    const auto old = needed - milliseconds(1);
    CHECK(judge_watch({false, recent, needed}) == watch_verdict::stands);
    CHECK(judge_watch({false, needed, needed}) == watch_verdict::stands);
    CHECK(judge_watch({false, old, needed}) == watch_verdict::unknown);
    CHECK(judge_watch({false, std::nullopt, needed}) == watch_verdict::unknown);
    // Changes have happened, however old the copy is.
    CHECK(judge_watch({true, old, needed}) == watch_verdict::overtaken);
    CHECK(judge_watch({true, std::nullopt, needed}) ==
          watch_verdict::overtaken);
    CHECK(judge_watch({true, recent, needed}) == watch_verdict::overtaken);
}

TEST_CASE("changes of the escrow account round-trip through their datagrams",
          "[adapter]")
{
    account_change change;
    change.owner = {"h1", "1"};
    change.address = "10.0.0.1:7340";
    change.zone = "z1";
    change.capacity = 2.5;
    change.sequence = 7;
    change.replaces = "0";
    change.witness = {"h2", "3"};
    change.drawn["clerks"] = 900;
    change.used["clerks"] = 300;
    change.closed[{"h3", "1"}] = {{"clerks", 40}};
    change.urgent = true;
    const auto decoded = decode_datagram(encode_change(change));
    REQUIRE(decoded);
    const auto* const received = std::get_if<account_change>(&*decoded);
    REQUIRE(received != nullptr);
    CHECK(received->owner == change.owner);
    CHECK(received->address == change.address);
    CHECK(received->zone == change.zone);
    CHECK(received->capacity == change.capacity);
    CHECK(received->sequence == change.sequence);
    CHECK(received->replaces == change.replaces);
    CHECK(received->witness == change.witness);
    CHECK(received->drawn == change.drawn);
    CHECK(received->used == change.used);
    CHECK(received->closed == change.closed);
    CHECK(received->urgent);

    for (const auto result : {change_result::applied, change_result::known,
                              change_result::refused, change_result::failed})
    {
        account_answer answer;
        answer.owner = change.owner;
        answer.sequence = 7;
        answer.result = result;
        answer.writer = "h9";
        answer.revision = 12;
        answer.hosts = 3;
        answer.witness = change.witness;
        answer.drawn = change.drawn;
        answer.totals["clerks"] = {1000, 300};
        const auto decoded_answer = decode_datagram(encode_answer(answer));
        REQUIRE(decoded_answer);
        const auto* const reply = std::get_if<account_answer>(&*decoded_answer);
        REQUIRE(reply != nullptr);
        CHECK(reply->owner == answer.owner);
        CHECK(reply->sequence == answer.sequence);
        CHECK(reply->result == result);
        CHECK(reply->writer == answer.writer);
        CHECK(reply->revision == answer.revision);
        CHECK(reply->hosts == answer.hosts);
        CHECK(reply->witness == answer.witness);
        CHECK(reply->drawn == answer.drawn);
        CHECK(reply->totals.at("clerks").drawn == 1000);
        CHECK(reply->totals.at("clerks").used == 300);
    }
}

namespace
{

std::string endpoint_spec(const std::string& fields)
{
    return R"({"service":"s","address":"10.0.0.3:80","zone":"z","version":"v1",)"
           R"("state":"ready","slots":8)" +
           fields + "}";
}

std::string listed_item(const std::string& name, const std::string& spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7},"spec":)" +
           spec + R"(,"status":null})";
}

std::string nested(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += "[";
    return text + std::string(depth, ']');
}

/// Decodes a list, and a watch, of an odd entry between two sound ones.
/// @return the names of the entries that name an endpoint
std::vector<std::string> usable_beside(const std::string& odd_spec)
{
    const auto item = [](const std::string& name, const std::string& spec)
    {
        return listed_item(name, spec);
    };
    const auto list = platform::decode_list(
        R"({"items":[)" + item("i-1", endpoint_spec("")) + "," +
        item("odd", odd_spec) + "," + item("i-2", endpoint_spec("")) +
        R"(],"hasMore":false,"storeRevision":9})");
    const auto events = platform::decode_events(
        R"({"events":[{"object":)" + item("i-1", endpoint_spec("")) +
        R"(,"tombstone":false},{"object":)" + item("odd", odd_spec) +
        R"(},{"object":)" + item("i-2", endpoint_spec("")) +
        R"(,"tombstone":true}],"storeRevision":9})");
    REQUIRE(list);
    REQUIRE(events);
    CHECK(list->revision == 9);
    CHECK(events->revision == 9);
    CHECK(events->events.back().removed);
    std::vector<std::string> usable;
    for (const auto& each : list->objects)
        if (platform::decode_endpoint(each))
            usable.push_back(each.name);
    std::vector<std::string> watched;
    for (const auto& each : events->events)
        if (platform::decode_endpoint(each.object))
            watched.push_back(each.object.name);
    CHECK(watched == usable);
    return usable;
}

using names_t = std::vector<std::string>;

} // namespace

TEST_CASE("an odd entry names no endpoint, and the others hold", "[adapter]")
{
    const auto spec = GENERATE(
        as<std::string>{}, "1e999", "3", "\"x\"", "[]", "{}",
        endpoint_spec(",\"extra\":\"\xff\xfe\""),
        endpoint_spec(",\"extra\":1e999"), endpoint_spec(",\"slots\":1e999"),
        endpoint_spec(",\"slots\":1e30"), endpoint_spec(",\"slots\":-5"),
        endpoint_spec(",\"slots\":4294967304"), endpoint_spec(",\"slots\":0"),
        endpoint_spec(",\"slots\":2.5"), endpoint_spec(",\"born\":-3"),
        endpoint_spec(",\"born\":1e30"), endpoint_spec(",\"born\":1.5"),
        endpoint_spec(",\"born\":\"1\""),
        endpoint_spec(",\"address\":\"10.0.0.3:70000\""),
        endpoint_spec(",\"address\":\"10.0.0.3:65536\""),
        endpoint_spec(",\"address\":\"10.0.0.3:0\""),
        endpoint_spec(",\"address\":\"10.0.0.3:80x\""),
        endpoint_spec(",\"address\":\"10.0.0.3:\""),
        endpoint_spec(",\"address\":\"10.0.0.300:80\""),
        endpoint_spec(",\"address\":\"nohost:80\""),
        endpoint_spec(",\"state\":\"gone\""), endpoint_spec(",\"zone\":3"),
        endpoint_spec(",\"zone\":\"z\\n\""));
    INFO(spec.substr(0, 200));
    CHECK(usable_beside(spec) == names_t{"i-1", "i-2"});
}

TEST_CASE("an entry whose name can't be a header's value names no endpoint",
          "[adapter]")
{
    const auto decodes = [](const std::string& name)
    {
        auto object = stored_object_of(endpoint_spec(""));
        object.name = name;
        return platform::decode_endpoint(object).has_value();
    };
    for (const auto* good :
         {"i", "i-7f3a91c2", "a b", "a&b#c+%41", "\u00e9", "\xff"})
        CHECK(decodes(good));
    for (const auto& bad :
         {std::string(), std::string("a\r\nTenant-Id: x"), std::string("a\n"),
          std::string("a\0b", 3), std::string("a\tb"), std::string("\x7f"),
          std::string(" a"), std::string("a "), std::string(257, 'a')})
        CHECK_FALSE(decodes(bad));
}

TEST_CASE("a deeply nested or oversized entry names no endpoint", "[adapter]")
{
    CHECK(usable_beside(endpoint_spec(",\"extra\":" + nested(100000))) ==
          names_t{"i-1", "i-2"});
    CHECK(usable_beside(nested(1000000)) == names_t{"i-1", "i-2"});
    CHECK(usable_beside(endpoint_spec(",\"zone\":\"" +
                                      std::string(100000, 'z') + "\"")) ==
          names_t{"i-1", "i-2"});
    CHECK(usable_beside(endpoint_spec(",\"extra\":" + nested(5))) ==
          names_t{"i-1", "odd", "i-2"});
}

TEST_CASE("an object whose metadata can't be read is left out", "[adapter]")
{
    const auto list = platform::decode_list(
        R"({"items":[{"metadata":{"name":5}},{"metadata":{"name":"a",)"
        R"("revision":1e999}},[],)" +
        listed_item("i-1", endpoint_spec("")) +
        R"(],"hasMore":true,"storeRevision":9})");
    REQUIRE(list);
    REQUIRE(list->objects.size() == 1);
    CHECK(list->objects[0].name == "i-1");
    CHECK(list->more);
    CHECK_FALSE(platform::decode_list(R"({"items":[)"));
    CHECK_FALSE(platform::decode_list(R"({"items":[]})"));
    CHECK_FALSE(platform::decode_list("[]"));
    CHECK_FALSE(platform::decode_list(nested(1000000)));
}

TEST_CASE("a move of another service than its entry's is ignored", "[adapter]")
{
    auto object =
        stored_object_of(R"({"service":"s","target":"v2","durationS":12})");
    object.name = "s";
    CHECK(platform::decode_move(object));
    for (const auto* other : {"", "S", "s ", "odd"})
    {
        object.name = other;
        CHECK_FALSE(platform::decode_move(object));
    }
}

TEST_CASE("a move with a name that is too long, or that is too large, is "
          "ignored",
          "[adapter]")
{
    const auto decodes =
        [](const std::string& service, const std::string& target,
           const std::string& extra = "0", const std::string& status = "")
    {
        auto object = stored_object_of(
            R"({"service":")" + service + R"(","target":")" + target +
            R"(","durationS":12,"extra":)" + extra + "}");
        object.name = service;
        object.status = status;
        return platform::decode_move(object).has_value();
    };
    CHECK(decodes(std::string(256, 's'), std::string(256, 'v')));
    CHECK_FALSE(decodes(std::string(257, 's'), "v"));
    CHECK_FALSE(decodes("s", std::string(257, 'v')));
    CHECK_FALSE(decodes("", "v"));
    CHECK_FALSE(decodes("s", ""));
    CHECK_FALSE(decodes("s", "v\\n"));
    CHECK(decodes("s", "v", nested(5), R"({"x":)" + nested(5) + "}"));
    CHECK_FALSE(decodes("s", "v", nested(100)));
    CHECK_FALSE(decodes("s", "v", '"' + std::string(70000, 'x') + '"'));
    CHECK_FALSE(decodes("s", "v", "0", R"({"x":)" + nested(100) + "}"));
    CHECK_FALSE(decodes("s", "v", "0",
                        R"({"x":")" + std::string(70000, 'x') + R"("})"));
}

TEST_CASE("a move whose time limit is no sensible number is ignored",
          "[adapter]")
{
    const auto decode = [](const std::string& limit)
    {
        auto object = stored_object_of(
            R"({"service":"s","target":"v2","durationS":)" + limit + "}");
        object.name = "s";
        return platform::decode_move(object);
    };
    CHECK(decode("12.5"));
    CHECK_FALSE(decode("1e30"));
    CHECK_FALSE(decode("1e999"));
    CHECK_FALSE(decode("-1"));
    CHECK_FALSE(decode("\"4\""));
}

TEST_CASE("a name of any bytes is one part of a request target", "[adapter]")
{
    using namespace platform;
    CHECK(list_target("servers", "") == "/api/objects/servers");
    CHECK(list_target("servers", "i-7.a_b~") ==
          "/api/objects/servers?after=i-7.a_b~");
    CHECK(list_target("servers", "&a=1#+ %", true) ==
          "/api/objects/servers?after=%26a%3D1%23%2B%20%25&serializable=1");
    CHECK(object_target("escrow", "a/b?c", true) ==
          "/api/objects/escrow/a%2Fb%3Fc?serializable=1");
    CHECK(status_target("rollouts", std::string("\r\n\0\xff", 4)) ==
          "/api/objects/rollouts/%0D%0A%00%FF/status");
}

TEST_CASE("a page names the last object, whatever else can be read of it",
          "[adapter]")
{
    const auto last_name = [](const std::string& metadata)
    {
        const auto page = platform::decode_list(
            R"({"items":[)" + listed_item("i-1", endpoint_spec("")) +
            R"(,{"metadata":)" + metadata +
            R"(}],"hasMore":true,"storeRevision":9})");
        REQUIRE(page);
        CHECK(page->unreadable == 1);
        return page->last_name;
    };
    CHECK(last_name(R"({"name":"b"})") == "b");
    CHECK(last_name(R"({"revision":1e999,"name":"b"})") == "b");
    CHECK(last_name("{\"name\":\"b\xff\"}") == "b\xff");
    CHECK(last_name(R"({"name":"\u0000\"\\\ud83d\ude00+\n"})") ==
          std::string("\0\"\\\xf0\x9f\x98\x80+\n", 9));
    CHECK(last_name("{\"name\":\"" + std::string(100000, 'b') + "\"}").size() ==
          100000);
    for (const auto* bad :
         {"{}", "[]", "null", R"({"name":5})", R"({"name":""})",
          R"({"name":"\ud83d"})", R"({"name":"\x"})"})
        CHECK(last_name(bad) == "i-1");
}

TEST_CASE("a list ends at a page that leads to none behind it", "[adapter]")
{
    const auto page_up_to = [](const std::string& name)
    {
        platform::object_page page;
        page.more = true;
        page.last_name = name;
        return page;
    };
    page_cursor cursor;
    CHECK(cursor.after().empty());
    CHECK(cursor.advance(page_up_to("b")));
    CHECK(cursor.after() == "b");
    // The order of names is the store's.
    CHECK(cursor.advance(page_up_to("a")));
    CHECK(cursor.after() == "a");
    SECTION("no object has a name")
    {
        CHECK_FALSE(cursor.advance(page_up_to("")));
    }
    SECTION("it has been read before")
    {
        CHECK_FALSE(cursor.advance(page_up_to("b")));
    }
}

TEST_CASE("a list is as old as the oldest of its pages", "[adapter]")
{
    page_cursor cursor;
    platform::object_page page;
    for (const std::uint64_t revision : {100, 90, 120})
    {
        page.revision = revision;
        page.last_name += "a";
        cursor.advance(page);
        CHECK(cursor.revision() == (revision == 100 ? 100 : 90));
    }
}

TEST_CASE("the position behind a long name fits into a target", "[adapter]")
{
    const std::string longest(512, 'b');
    const std::string last = "\U0010FFFF";
    CHECK(platform::list_position("") == "");
    CHECK(platform::list_position(longest) == longest);
    const auto position = platform::list_position(longest + "b");
    CHECK(position == longest + last);
    CHECK(position > longest + std::string(9000, 'b'));
    CHECK(position < "bc");
    // No character is cut in two.
    const std::string before(510, 'b');
    CHECK(platform::list_position(before + "\u20ac\u20ac") == before + last);
    CHECK(platform::list_position(std::string(600, '\x80')).size() == 509 + 4);
}

TEST_CASE("a logged name has no bytes that a line of the log may not have",
          "[adapter]")
{
    CHECK(platform::printable_name("i-7f3a") == "i-7f3a");
    CHECK(platform::printable_name("a\r\n\"=\xff") == "a%0D%0A%22%3D%FF");
    CHECK(platform::printable_name(std::string(1000, 'a')).size() == 100);
    auto object = stored_object_of("{}");
    object.name = "a\r\nb";
    for (const auto& message :
         {platform::decode_endpoint(object).error().message(),
          platform::decode_move(object).error().message(),
          platform::decode_evacuation(object).error().message()})
    {
        INFO(message);
        CHECK(message.find('\n') == std::string::npos);
    }
}
