#include "peer_state.hpp"

#include <cmath>    // isfinite
#include <cstring>  // memcpy
#include <optional> // nullopt, optional
#include <string>   // string
#include <utility>  // move

#include <capnp/message.h>   // MallocMessageBuilder
#include <capnp/serialize.h> // FlatArrayMessageReader, messageToFlatArray
#include <kj/exception.h>    // Exception

#include "peer_protocol.capnp.h" // Beat, State

namespace rhubarbgrade
{

namespace
{

namespace wire = peer_protocol;

unsigned size_of(const auto& container)
{
    return static_cast<unsigned>(container.size());
}

void write_sums(wire::Sums::Builder to, const sample_sums& from)
{
    to.setRequests(from.requests);
    to.setErrors(from.errors);
    to.setLogLatency(from.log_latency);
    to.setLogLatencySquare(from.log_latency_square);
    to.setTimed(from.timed);
}

sample_sums read_sums(wire::Sums::Reader from)
{
    return {from.getRequests(), from.getErrors(), from.getLogLatency(),
            from.getLogLatencySquare(), from.getTimed()};
}

void write_evidence(wire::MoveEvidence::Builder to, const shared_evidence& from)
{
    to.setService(from.service);
    to.setTarget(from.target);
    auto routes = to.initRoutes(static_cast<unsigned>(from.routes.size()));
    unsigned i = 0;
    for (const auto& [name, sides] : from.routes)
    {
        auto route = routes[i++];
        route.setRoute(name);
        write_sums(route.initFrom(), sides.from);
        write_sums(route.initTo(), sides.to);
        write_sums(route.initToAll(), sides.to_all);
        write_sums(route.initToRecent(), sides.to_recent);
    }
}

shared_evidence read_evidence(wire::MoveEvidence::Reader from)
{
    shared_evidence decoded;
    decoded.service = from.getService();
    decoded.target = from.getTarget();
    for (const auto route : from.getRoutes())
        decoded.routes[route.getRoute()] = {
            read_sums(route.getFrom()), read_sums(route.getTo()),
            read_sums(route.getToAll()), read_sums(route.getToRecent())};
    return decoded;
}

void write_endpoint(wire::Endpoint::Builder to, const endpoint_entry& from)
{
    to.setId(from.id);
    to.setService(from.service);
    to.setIp(from.address.ip);
    to.setPort(from.address.port);
    to.setZone(from.zone);
    to.setVersion(from.version);
    to.setSlots(from.slots);
    to.setStarted(from.started);
    to.setLeaving(from.leaving);
    to.setColdMs(static_cast<std::uint32_t>(from.cold.count()));
}

endpoint_entry read_endpoint(wire::Endpoint::Reader from)
{
    endpoint_entry decoded;
    decoded.id = from.getId();
    decoded.service = from.getService();
    decoded.address = {from.getIp(), from.getPort()};
    decoded.zone = from.getZone();
    decoded.version = from.getVersion();
    decoded.slots = from.getSlots();
    decoded.started = from.getStarted();
    decoded.leaving = from.getLeaving();
    decoded.cold = milliseconds(from.getColdMs());
    return decoded;
}

void write_move(wire::Move::Builder to, const shared_move& from)
{
    to.setService(from.order.service);
    to.setTarget(from.order.target);
    to.setLimitMs(from.order.limit.count());
    to.setState(static_cast<std::uint8_t>(from.order.state));
    to.setRevision(from.order.revision);
    to.setCreated(from.order.created);
    to.setElapsedMs(from.elapsed.count());
    to.setEra(from.era);
}

shared_move read_move(wire::Move::Reader from)
{
    shared_move decoded;
    decoded.order.service = from.getService();
    decoded.order.target = from.getTarget();
    decoded.order.limit = milliseconds(from.getLimitMs());
    decoded.order.state = static_cast<order_state>(from.getState());
    decoded.order.revision = from.getRevision();
    decoded.order.created = from.getCreated();
    decoded.elapsed = milliseconds(from.getElapsedMs());
    decoded.era = from.getEra();
    return decoded;
}

std::string flatten(capnp::MallocMessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Decodes a message from untrusted bytes; an invalid one gives an error
/// instead of an exception.
/// @param[in] operation  named in the error
template <typename Message, typename Decode>
auto decode_message(std::string_view bytes, const char* operation,
                    Decode decode)
    -> result<decltype(decode(std::declval<typename Message::Reader>()))>
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    try
    {
        capnp::FlatArrayMessageReader reader(words);
        return decode(reader.getRoot<Message>());
    }
    catch (const kj::Exception& fault)
    {
        return failure(errc::malformed, operation, "peer",
                       fault.getDescription().cStr());
    }
}

shared_crash read_crash(wire::Crash::Reader from)
{
    shared_crash decoded{from.getProcess(), milliseconds(from.getAgeMs()), {}};
    for (const auto each : from.getSuspects())
        decoded.suspects[each.getId()] = {each.getDepth(), each.getCleared()};
    return decoded;
}

void write_crash(wire::Crash::Builder to, const shared_crash& from)
{
    to.setProcess(from.process);
    to.setAgeMs(static_cast<std::uint32_t>(from.age.count()));
    auto suspects = to.initSuspects(size_of(from.suspects));
    unsigned i = 0;
    for (const auto& [id, suspect] : from.suspects)
    {
        suspects[i].setId(id);
        suspects[i].setDepth(suspect.depth);
        suspects[i++].setCleared(suspect.cleared);
    }
}

shared_crashes read_crashes(wire::Beat::Reader from)
{
    shared_crashes decoded;
    for (const auto each : from.getCrashes())
        decoded.crashes.push_back(read_crash(each));
    for (const auto each : from.getQuarantined())
        decoded.quarantined.push_back({each.getSuspect(),
                                       milliseconds(each.getAgeMs()),
                                       each.getReleased()});
    return decoded;
}

void write_crashes(wire::Beat::Builder to, const shared_crashes& from)
{
    auto crashes = to.initCrashes(size_of(from.crashes));
    for (unsigned i = 0; i < crashes.size(); ++i)
        write_crash(crashes[i], from.crashes[i]);
    auto quarantined = to.initQuarantined(size_of(from.quarantined));
    for (unsigned i = 0; i < quarantined.size(); ++i)
    {
        const auto& each = from.quarantined[i];
        quarantined[i].setSuspect(each.suspect);
        quarantined[i].setAgeMs(static_cast<std::uint32_t>(each.age.count()));
        quarantined[i].setReleased(each.released);
    }
}

std::uint32_t write_age(std::optional<milliseconds> age)
{
    return age ? static_cast<std::uint32_t>(age->count()) + 1 : 0;
}

std::optional<milliseconds> read_age(std::uint32_t from)
{
    if (from == 0)
        return std::nullopt;
    return milliseconds(from - 1);
}

/// Limits that are not finite or negative are dropped.
std::vector<shared_limit>
read_limits(capnp::List<wire::RequestLimit>::Reader from)
{
    std::vector<shared_limit> decoded;
    for (const auto each : from)
        if (std::isfinite(each.getPerSecond()) && each.getPerSecond() >= 0)
            decoded.push_back({each.getProcess(), each.getPerSecond(),
                               read_age(each.getNamedAge()),
                               read_age(each.getUnnamedAge()),
                               read_age(each.getRejectedAge())});
    return decoded;
}

void write_limits(capnp::List<wire::RequestLimit>::Builder limits,
                  const std::vector<shared_limit>& from)
{
    for (unsigned i = 0; i < limits.size(); ++i)
    {
        limits[i].setProcess(from[i].process);
        limits[i].setPerSecond(from[i].per_s);
        limits[i].setNamedAge(write_age(from[i].named_age));
        limits[i].setUnnamedAge(write_age(from[i].unnamed_age));
        limits[i].setRejectedAge(write_age(from[i].rejected_age));
    }
}

peer_heartbeat read_heartbeat(wire::Beat::Reader root)
{
    peer_heartbeat heartbeat;
    heartbeat.host = root.getHost();
    heartbeat.incarnation = root.getIncarnation();
    heartbeat.configuration = root.getConfiguration();
    heartbeat.fresh = root.getFresh();
    heartbeat.can_write = root.getCanWrite();
    heartbeat.state_digest = root.getStateDigest();
    for (const auto each : root.getEvidence())
        heartbeat.evidence.push_back(read_evidence(each));
    heartbeat.crashes = read_crashes(root);
    heartbeat.limits = read_limits(root.getLimits());
    heartbeat.brittle = read_limits(root.getBrittle());
    heartbeat.relay_port = root.getRelayPort();
    heartbeat.started = root.getStarted();
    heartbeat.sequence = root.getSequence();
    heartbeat.address = root.getAddress();
    heartbeat.zone = root.getZone();
    if (std::isfinite(root.getCapacity()))
        heartbeat.capacity = root.getCapacity();
    heartbeat.asks_hub = root.getAsksHub();
    heartbeat.state_age = read_age(root.getStateAge());
    heartbeat.store_failing = root.getStoreFailing();
    heartbeat.store_answers = root.getStoreAnswers();
    heartbeat.store_era = root.getStoreEra();
    heartbeat.evacuations = {
        root.getEvacuationsEra(), root.getEvacuationsRevision(), {}};
    for (const auto each : root.getEvacuatedZones())
        heartbeat.evacuations.zones.insert(each);
    return heartbeat;
}

void write_heartbeat(wire::Beat::Builder root, const peer_heartbeat& heartbeat)
{
    root.setHost(heartbeat.host);
    root.setIncarnation(heartbeat.incarnation);
    root.setConfiguration(heartbeat.configuration);
    root.setFresh(heartbeat.fresh);
    root.setCanWrite(heartbeat.can_write);
    root.setRelayPort(heartbeat.relay_port);
    root.setStateDigest(heartbeat.state_digest);
    auto evidence = root.initEvidence(size_of(heartbeat.evidence));
    for (unsigned i = 0; i < evidence.size(); ++i)
        write_evidence(evidence[i], heartbeat.evidence[i]);
    write_crashes(root, heartbeat.crashes);
    write_limits(root.initLimits(size_of(heartbeat.limits)), heartbeat.limits);
    write_limits(root.initBrittle(size_of(heartbeat.brittle)),
                 heartbeat.brittle);
    root.setStarted(heartbeat.started);
    root.setSequence(heartbeat.sequence);
    root.setAddress(heartbeat.address);
    root.setZone(heartbeat.zone);
    root.setCapacity(heartbeat.capacity);
    root.setAsksHub(heartbeat.asks_hub);
    root.setStateAge(write_age(heartbeat.state_age));
    root.setStoreFailing(heartbeat.store_failing);
    root.setStoreAnswers(heartbeat.store_answers);
    root.setStoreEra(heartbeat.store_era);
    const auto& evacuations = heartbeat.evacuations;
    root.setEvacuationsEra(evacuations.era);
    root.setEvacuationsRevision(evacuations.revision);
    auto zones = root.initEvacuatedZones(size_of(evacuations.zones));
    unsigned i = 0;
    for (const auto& each : evacuations.zones)
        zones.set(i++, each);
}

capnp::Data::Reader data_of(const std::string& bytes)
{
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void write_reports(capnp::List<wire::Report>::Builder to,
                   const std::vector<shared_report>& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to[i].setBeat(data_of(from[i].beat));
        to[i].setAgeMs(static_cast<std::uint32_t>(from[i].age.count()));
        to[i].setDown(from[i].down);
    }
}

std::vector<shared_report> read_reports(capnp::List<wire::Report>::Reader from)
{
    std::vector<shared_report> decoded;
    for (const auto each : from)
    {
        const auto beat = each.getBeat();
        decoded.push_back(
            {std::string(reinterpret_cast<const char*>(beat.begin()),
                         beat.size()),
             milliseconds(each.getAgeMs()), each.getDown()});
    }
    return decoded;
}

peer_news read_news(wire::News::Reader from)
{
    peer_news decoded;
    decoded.sender = read_heartbeat(from.getSender());
    decoded.hub = from.getHub();
    decoded.reports = read_reports(from.getReports());
    decoded.digest = from.getDigest();
    for (const auto each : from.getZones())
        decoded.zones[each.getZone()] = milliseconds(each.getAgeMs());
    for (const auto each : from.getEvidence())
        decoded.evidence.push_back(read_evidence(each));
    decoded.complete = from.getComplete();
    decoded.position = {from.getEra(), from.getPosition()};
    for (const auto each : from.getChanges())
        decoded.changes.push_back({read_endpoint(each.getEndpoint()),
                                   each.getGone(), each.getLapsed(),
                                   each.getPosition()});
    return decoded;
}

void write_process(wire::Process::Builder to, const process_id& from)
{
    to.setHost(from.host);
    to.setIncarnation(from.incarnation);
}

process_id read_process(wire::Process::Reader from)
{
    return {from.getHost(), from.getIncarnation()};
}

witness_message read_witness(wire::Witness::Reader from)
{
    witness_message decoded;
    decoded.owner = read_process(from.getOwner());
    decoded.witness = read_process(from.getWitness());
    decoded.confirmed = from.getConfirmed();
    for (const auto each : from.getCeilings())
        decoded.ceilings[each.getCustomer()] = each.getTokens();
    return decoded;
}

void write_tokens(capnp::List<wire::Tokens>::Builder to,
                  const token_map_t& from)
{
    unsigned i = 0;
    for (const auto& [customer, tokens] : from)
    {
        to[i].setCustomer(customer);
        to[i++].setTokens(tokens);
    }
}

token_map_t read_tokens(capnp::List<wire::Tokens>::Reader from)
{
    token_map_t tokens;
    for (const auto each : from)
        tokens[each.getCustomer()] = each.getTokens();
    return tokens;
}

account_change read_change(wire::Change::Reader from)
{
    account_change decoded;
    decoded.owner = read_process(from.getOwner());
    decoded.address = from.getAddress();
    decoded.zone = from.getZone();
    decoded.capacity = from.getCapacity();
    decoded.sequence = from.getSequence();
    decoded.replaces = from.getReplaces();
    decoded.witness = read_process(from.getWitness());
    decoded.drawn = read_tokens(from.getDrawn());
    decoded.used = read_tokens(from.getUsed());
    for (const auto each : from.getClosed())
        decoded.closed[read_process(each.getOwner())] =
            read_tokens(each.getCeilings());
    decoded.urgent = from.getUrgent();
    decoded.declares = from.getDeclares();
    return decoded;
}

/// The result in an answer; an unknown one counts as failed.
change_result read_result(wire::ChangeResult from)
{
    switch (from)
    {
    case wire::ChangeResult::APPLIED:
        return change_result::applied;
    case wire::ChangeResult::KNOWN:
        return change_result::known;
    case wire::ChangeResult::REFUSED:
        return change_result::refused;
    case wire::ChangeResult::FAILED:
        break;
    }
    return change_result::failed;
}

wire::ChangeResult write_result(change_result from)
{
    switch (from)
    {
    case change_result::applied:
        return wire::ChangeResult::APPLIED;
    case change_result::known:
        return wire::ChangeResult::KNOWN;
    case change_result::refused:
        return wire::ChangeResult::REFUSED;
    case change_result::failed:
        break;
    }
    return wire::ChangeResult::FAILED;
}

account_answer read_answer(wire::Answer::Reader from)
{
    account_answer decoded;
    decoded.owner = read_process(from.getOwner());
    decoded.sequence = from.getSequence();
    decoded.result = read_result(from.getResult());
    decoded.writer = from.getWriter();
    decoded.era = from.getEra();
    decoded.revision = from.getRevision();
    decoded.hosts = from.getHosts();
    decoded.witness = read_process(from.getWitness());
    decoded.drawn = read_tokens(from.getDrawn());
    for (const auto each : from.getTotals())
        decoded.totals[each.getCustomer()] = {each.getDrawn(), each.getUsed()};
    return decoded;
}

} // namespace

std::string encode_heartbeat(const peer_heartbeat& heartbeat)
{
    capnp::MallocMessageBuilder message;
    write_heartbeat(message.initRoot<wire::Datagram>().initBeat(), heartbeat);
    return flatten(message);
}

std::string encode_news(const peer_news& from)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Datagram>().initNews();
    write_heartbeat(root.initSender(), from.sender);
    root.setHub(from.hub);
    write_reports(root.initReports(size_of(from.reports)), from.reports);
    root.setDigest(from.digest);
    auto zones = root.initZones(size_of(from.zones));
    unsigned i = 0;
    for (const auto& [zone, age] : from.zones)
    {
        zones[i].setZone(zone);
        zones[i++].setAgeMs(static_cast<std::uint32_t>(age.count()));
    }
    auto evidence = root.initEvidence(size_of(from.evidence));
    for (unsigned j = 0; j < evidence.size(); ++j)
        write_evidence(evidence[j], from.evidence[j]);
    root.setComplete(from.complete);
    root.setEra(from.position.era);
    root.setPosition(from.position.revision);
    auto changes = root.initChanges(size_of(from.changes));
    for (unsigned j = 0; j < changes.size(); ++j)
    {
        write_endpoint(changes[j].initEndpoint(), from.changes[j].entry);
        changes[j].setGone(from.changes[j].gone);
        changes[j].setLapsed(from.changes[j].lapsed);
        changes[j].setPosition(from.changes[j].position);
    }
    return flatten(message);
}

std::string encode_witness(const witness_message& from)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Datagram>().initWitness();
    write_process(root.initOwner(), from.owner);
    write_process(root.initWitness(), from.witness);
    root.setConfirmed(from.confirmed);
    auto ceilings =
        root.initCeilings(static_cast<unsigned>(from.ceilings.size()));
    unsigned i = 0;
    for (const auto& [customer, tokens] : from.ceilings)
    {
        ceilings[i].setCustomer(customer);
        ceilings[i++].setTokens(tokens);
    }
    return flatten(message);
}

std::string encode_change(const account_change& from)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Datagram>().initChange();
    write_process(root.initOwner(), from.owner);
    root.setAddress(from.address);
    root.setZone(from.zone);
    root.setCapacity(from.capacity);
    root.setSequence(from.sequence);
    root.setReplaces(from.replaces);
    write_process(root.initWitness(), from.witness);
    write_tokens(root.initDrawn(size_of(from.drawn)), from.drawn);
    write_tokens(root.initUsed(size_of(from.used)), from.used);
    auto closed = root.initClosed(size_of(from.closed));
    unsigned i = 0;
    for (const auto& [owner, ceilings] : from.closed)
    {
        write_process(closed[i].initOwner(), owner);
        write_tokens(closed[i++].initCeilings(size_of(ceilings)), ceilings);
    }
    root.setUrgent(from.urgent);
    root.setDeclares(from.declares);
    return flatten(message);
}

std::string encode_answer(const account_answer& from)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Datagram>().initAnswer();
    write_process(root.initOwner(), from.owner);
    root.setSequence(from.sequence);
    root.setResult(write_result(from.result));
    root.setWriter(from.writer);
    root.setEra(from.era);
    root.setRevision(from.revision);
    root.setHosts(static_cast<std::uint32_t>(from.hosts));
    write_process(root.initWitness(), from.witness);
    write_tokens(root.initDrawn(size_of(from.drawn)), from.drawn);
    auto totals = root.initTotals(size_of(from.totals));
    unsigned i = 0;
    for (const auto& [customer, total] : from.totals)
    {
        totals[i].setCustomer(customer);
        totals[i].setDrawn(total.drawn);
        totals[i++].setUsed(total.used);
    }
    return flatten(message);
}

result<peer_datagram_t> decode_datagram(std::string_view bytes)
{
    auto decoded = decode_message<wire::Datagram>(
        bytes, "decode datagram",
        [](wire::Datagram::Reader root) -> std::optional<peer_datagram_t>
        {
            switch (root.which())
            {
            case wire::Datagram::BEAT:
                return read_heartbeat(root.getBeat());
            case wire::Datagram::WITNESS:
                return read_witness(root.getWitness());
            case wire::Datagram::CHANGE:
                return read_change(root.getChange());
            case wire::Datagram::ANSWER:
                return read_answer(root.getAnswer());
            case wire::Datagram::NEWS:
                return read_news(root.getNews());
            }
            return std::nullopt;
        });
    if (!decoded)
        return tl::unexpected(decoded.error());
    if (!*decoded)
        return failure(errc::malformed, "decode datagram", "peer",
                       "a kind that this version does not know");
    return std::move(**decoded);
}

std::string encode_state(const peer_state& state)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::State>();
    root.setConfiguration(state.configuration);
    root.setVersion(state.version);
    auto endpoints =
        root.initEndpoints(static_cast<unsigned>(state.endpoints.size()));
    for (unsigned i = 0; i < endpoints.size(); ++i)
        write_endpoint(endpoints[i], state.endpoints[i]);
    auto moves = root.initMoves(static_cast<unsigned>(state.moves.size()));
    for (unsigned i = 0; i < moves.size(); ++i)
        write_move(moves[i], state.moves[i]);
    write_reports(root.initReports(size_of(state.reports)), state.reports);
    root.setEra(state.position.era);
    root.setPosition(state.position.revision);
    return flatten(message);
}

result<peer_state> decode_state(std::string_view bytes)
{
    return decode_message<wire::State>(
        bytes, "decode state",
        [](wire::State::Reader root)
        {
            peer_state state;
            state.configuration = root.getConfiguration();
            state.version = root.getVersion();
            for (const auto each : root.getEndpoints())
                state.endpoints.push_back(read_endpoint(each));
            for (const auto each : root.getMoves())
                state.moves.push_back(read_move(each));
            state.reports = read_reports(root.getReports());
            state.position = {root.getEra(), root.getPosition()};
            return state;
        });
}

} // namespace rhubarbgrade
