// Checks of configuration objects and of the daemon's settings: every fault is
// reported, with its line where it has one.

#include <catch2/catch.hpp>

#include <rhubarbgrade/rhubarbgrade.hpp>

using namespace rhubarbgrade;

namespace
{

const std::string good_set = R"([[customer]]
name = "c"
prepaid_tokens = 10
[[service]]
name = "s"
kind = "model"
model = "m"
version = "v1"
[[version]]
name = "v1"
service = "s"
[[version]]
name = "v2"
service = "s"
[[endpoint]]
name = "e1"
version = "v1"
zone = "a"
address = "10.0.0.1:80"
[[endpoint]]
name = "e2"
version = "v2"
zone = "a"
address = "10.0.0.2:80"
)";

std::string move_text(const std::string& name, const std::string& from,
                      const std::string& to, const std::string& hour)
{
    return "[[move]]\nname = \"" + name + "\"\nservice = \"s\"\nfrom = \"" +
           from + "\"\nto = \"" + to + "\"\nstart = 2026-01-01T" + hour +
           ":00:00Z\ndeadline = 2026-01-01T23:00:00Z\n";
}

std::string faults_of(const std::string& text)
{
    problems_t faults;
    const auto set = load_files({{"f.toml", text}}, faults);
    check(set, faults);
    std::string messages;
    for (const auto& fault : faults)
        messages += fault.message() + "\n";
    return messages;
}

bool contains(const std::string& text, const std::string& substring)
{
    return text.find(substring) != std::string::npos;
}

} // namespace

TEST_CASE("a set of objects")
{
    SECTION("is accepted when consistent")
    {
        CHECK(faults_of(good_set + move_text("m", "v1", "v2", "10")) == "");
    }
    SECTION("has every fault listed with its line")
    {
        const auto messages =
            faults_of("[[customer]]\nname = \"c\"\nprepaid = 1\n"
                      "[[version]]\nname = 3\n");
        CHECK(contains(messages, "f.toml:3: [rhubarbgrade.102] unknown key"));
        CHECK(contains(messages, "f.toml:5: [rhubarbgrade.103]"));
        CHECK(contains(messages, "[rhubarbgrade.105] \"service\" is required"));
    }
    SECTION("must be TOML")
    {
        CHECK(contains(faults_of("a = ["), "f.toml:1: [rhubarbgrade.101]"));
    }
    SECTION("may not name two moves of a service that overlap")
    {
        const auto both = move_text("m1", "v1", "v2", "10") +
                          move_text("m2", "v1", "v2", "11");
        CHECK(contains(faults_of(good_set + both), "overlaps in time"));
    }
    SECTION("may not move to the same version, or end before it starts")
    {
        CHECK(contains(faults_of(good_set + move_text("m", "v1", "v1", "10")),
                       "the same"));
        const auto late = "[[move]]\nname=\"m\"\nservice=\"s\"\nfrom=\"v1\"\n"
                          "to=\"v2\"\nstart=2026-01-02T00:00:00Z\n"
                          "deadline=2026-01-01T00:00:00Z\n";
        CHECK(contains(faults_of(good_set + late), "start is not before"));
    }
    SECTION("may not lower a prepaid budget or drop its customer")
    {
        problems_t faults;
        const auto before = load_files({{"f.toml", good_set}}, faults);
        auto after = before;
        after.customers.at("c").prepaid_tokens = 9;
        check_change(before, after, faults);
        CHECK(faults.size() == 1);
        after.customers.clear();
        check_change(before, after, faults);
        CHECK(faults.size() == 2);
    }
}

TEST_CASE("settings")
{
    const std::string good = "host = \"a1\"\nzone = \"a\"\n"
                             "listen = \"127.0.0.1:0\"\n"
                             "admin_listen = \"127.0.0.1:0\"\n"
                             "rpc_listen = \"127.0.0.1:0\"\n"
                             "platform = \"127.0.0.1:7000\"\n";
    problems_t faults;

    SECTION("are read")
    {
        const auto loaded =
            load_settings("s", good + "draw_horizon_s = 60\n", faults);
        CHECK(faults.empty());
        CHECK(loaded.draw.horizon == std::chrono::seconds(60));
    }
    SECTION("have every fault listed")
    {
        load_settings("s",
                      "host = \"a.1\"\nlisten = \"here\"\nheartbeat_ms = "
                      "\"x\"\nsolo_share = 2\nlog_level = \"loud\"\n",
                      faults);
        CHECK(faults.size() >= 8);
    }
    SECTION("may not contradict each other")
    {
        load_settings("s", good + "suspect_after_ms = 100\n", faults);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].code == errc::clash);
    }
}
