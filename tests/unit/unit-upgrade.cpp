// Hosts of two versions side by side: each reads what the other one writes.

#include <cstring>
#include <string>
#include <string_view>

#include <capnp/serialize.h>
#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/escrow/escrow.hpp>

#include "../../src/peers/peer_state.hpp"
#include "protocol-b454791/protocol.capnp.h"
#include "recorded-81223e2.hpp"
#include "recorded-b454791.hpp"

using namespace rhubarbgrade;
namespace earlier = rhubarbgrade::peer_protocol_b454791;

namespace
{

std::string bytes_of(std::string_view digits)
{
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes += static_cast<char>(
            std::stoi(std::string(digits.substr(i, 2)), nullptr, base));
    return bytes;
}

template <typename Message>
Message decoded(const char* digits)
{
    const auto datagram = decode_datagram(bytes_of(digits));
    REQUIRE(datagram);
    REQUIRE(std::holds_alternative<Message>(*datagram));
    return std::get<Message>(*datagram);
}

kj::Array<capnp::word> words_of(const std::string& bytes)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    return words;
}

} // namespace

TEST_CASE("a heartbeat of the version before is read", "[upgrade]")
{
    const auto heartbeat = decoded<peer_heartbeat>(recorded::heartbeat);
    CHECK(heartbeat.host == "h1");
    CHECK(heartbeat.incarnation == "abc");
    CHECK(heartbeat.configuration == 7);
    CHECK(heartbeat.fresh);
    CHECK(heartbeat.can_write);
    CHECK(heartbeat.state_digest == 99);
    CHECK(heartbeat.relay_port == 7341);
    REQUIRE(heartbeat.evidence.size() == 1);
    CHECK(heartbeat.evidence[0].routes.at("r").from.requests == 3);
    REQUIRE(heartbeat.crashes.crashes.size() == 1);
    CHECK(heartbeat.crashes.crashes[0].suspects.at(5).cleared);
    REQUIRE(heartbeat.crashes.quarantined.size() == 1);
    REQUIRE(heartbeat.limits.size() == 1);
    CHECK(heartbeat.limits[0].per_s == 2.5);
    REQUIRE(heartbeat.brittle.size() == 1);
    // Its sender knows no hubs and sends no reports.
    CHECK(heartbeat.started == 0);
    CHECK(heartbeat.address.empty());
    // Nor evacuations.
    CHECK(heartbeat.evacuations.revision == 0);
}

TEST_CASE("other messages of the version before are read", "[upgrade]")
{
    const auto witness = decoded<witness_message>(recorded::witness);
    CHECK(witness.owner == process_id{"h1", "a"});
    CHECK(witness.ceilings.at("c") == 500);
    CHECK(witness.confirmed);
    const auto change = decoded<account_change>(recorded::change);
    CHECK(change.sequence == 4);
    CHECK(change.drawn.at("c") == 100);
    CHECK(change.closed.at({"h3", "x"}).at("c") == 9);
    CHECK(change.urgent);
    const auto answer = decoded<account_answer>(recorded::answer);
    CHECK(answer.result == change_result::applied);
    CHECK(answer.totals.at("c").drawn == 700);
    const auto state = decode_state(bytes_of(recorded::state));
    REQUIRE(state);
    CHECK(state->version == 7);
    REQUIRE(state->endpoints.size() == 1);
    CHECK(state->endpoints[0].leaving);
    REQUIRE(state->moves.size() == 1);
    CHECK(state->moves[0].elapsed == milliseconds(70));
    CHECK(state->reports.empty());
}

TEST_CASE("the account of the version before is read and written alike",
          "[upgrade]")
{
    const auto text = bytes_of(recorded::account);
    const auto book = decode_escrow_book(text);
    REQUIRE(book);
    CHECK(book->hosts.at("h1").drawn.at("c") == 100);
    CHECK(book->era == 3);
    CHECK(encode_escrow_book(*book) == text);
}

TEST_CASE("the version before reads a heartbeat and a state", "[upgrade]")
{
    auto heartbeat = decoded<peer_heartbeat>(recorded::heartbeat);
    heartbeat.started = 1000;
    heartbeat.sequence = 3;
    heartbeat.address = "10.0.0.1:7340";
    heartbeat.zone = "z";
    heartbeat.asks_hub = true;
    heartbeat.evacuations = {2, 70, {"z1", "z2"}};
    CHECK(
        std::get<peer_heartbeat>(*decode_datagram(encode_heartbeat(heartbeat)))
            .evacuations == heartbeat.evacuations);
    const auto words = words_of(encode_heartbeat(heartbeat));
    capnp::FlatArrayMessageReader reader(words);
    const auto root = reader.getRoot<earlier::Datagram>();
    REQUIRE(root.which() == earlier::Datagram::BEAT);
    const auto beat = root.getBeat();
    CHECK(beat.getHost() == "h1");
    CHECK(beat.getConfiguration() == 7);
    CHECK(beat.getRelayPort() == 7341);
    CHECK(beat.getCanWrite());
    CHECK(beat.getEvidence().size() == 1);
    CHECK(beat.getCrashes()[0].getSuspects()[0].getId() == 5);
    CHECK(beat.getBrittle().size() == 1);

    auto state = *decode_state(bytes_of(recorded::state));
    state.reports.push_back({"bytes", milliseconds(4), true});
    const auto state_words = words_of(encode_state(state));
    capnp::FlatArrayMessageReader state_reader(state_words);
    const auto earlier_state = state_reader.getRoot<earlier::State>();
    CHECK(earlier_state.getVersion() == 7);
    CHECK(earlier_state.getEndpoints()[0].getLeaving());
    CHECK(earlier_state.getMoves()[0].getElapsedMs() == 70);
}

TEST_CASE("a host that tells neither evacuations nor cold endpoints is read",
          "[upgrade]")
{
    const auto heartbeat = decoded<peer_heartbeat>(recorded_81223e2::heartbeat);
    CHECK(heartbeat.host == "h1");
    CHECK(heartbeat.configuration == 7);
    CHECK(heartbeat.state_digest == 42);
    CHECK(heartbeat.store_era == 3);
    CHECK(heartbeat.store_failing);
    CHECK(heartbeat.state_age == milliseconds(40));
    CHECK_FALSE(heartbeat.store_answers);
    CHECK(heartbeat.evacuations.revision == 0);
    CHECK(heartbeat.evacuations.zones.empty());
    const auto state = decode_state(bytes_of(recorded_81223e2::state));
    REQUIRE(state);
    REQUIRE(state->endpoints.size() == 1);
    CHECK(state->endpoints[0].id == "i-1");
    CHECK(state->endpoints[0].slots == 4);
    CHECK(state->endpoints[0].leaving);
    CHECK(state->endpoints[0].cold == milliseconds(0));
}

TEST_CASE("a message of an unknown kind is an error and nothing worse",
          "[upgrade]")
{
    auto bytes = bytes_of(recorded::witness);
    // The kind is the first field after the frame and the root pointer.
    constexpr std::size_t kind_at = 16;
    REQUIRE(bytes[kind_at] == 1);
    for (int kind = 5; kind < 128; ++kind)
    {
        bytes[kind_at] = static_cast<char>(kind);
        CHECK_FALSE(decode_datagram(bytes));
    }
}
