#include "beat.hpp"

#include <string> // string
#include <vector> // vector

namespace rhubarbgrade
{
namespace
{

void write(protocol::Sums::Builder to, const sample_sums& sums)
{
    to.setRequests(sums.requests);
    to.setErrors(sums.errors);
    to.setLogLatency(sums.log_latency);
    to.setLogLatencySquare(sums.log_latency_square);
    to.setTimed(sums.timed);
}

sample_sums read(protocol::Sums::Reader from)
{
    return {from.getRequests(), from.getErrors(), from.getLogLatency(),
            from.getLogLatencySquare(), from.getTimed()};
}

void write_hosts(protocol::Beat::Builder to, const heartbeat_message& beat)
{
    auto hosts = to.initHosts(beat.hosts.size());
    for (std::size_t index = 0; index < beat.hosts.size(); ++index)
    {
        hosts[index].setHost(beat.hosts[index].host.c_str());
        hosts[index].setIncarnation(beat.hosts[index].incarnation);
        hosts[index].setCount(beat.hosts[index].count);
        hosts[index].setLeaving(beat.hosts[index].leaving);
    }
}

void write_evidence(protocol::Beat::Builder to, const heartbeat_message& beat)
{
    std::size_t count = 0;
    for (const auto& [move, routes] : beat.evidence)
        count += routes.size();
    auto rows = to.initEvidence(count);
    std::size_t index = 0;
    for (const auto& [move, routes] : beat.evidence)
        for (const auto& [route, version_sums] : routes)
        {
            auto row = rows[index++];
            row.setMove(move.c_str());
            row.setRoute(route.c_str());
            write(row.initFrom(), version_sums.from);
            write(row.initTo(), version_sums.to);
            write(row.initToAll(), version_sums.to_all);
            write(row.initToRecent(), version_sums.to_recent);
        }
}

template <typename Texts>
void write_texts(capnp::List<capnp::Text>::Builder to, const Texts& texts)
{
    unsigned index = 0;
    for (const auto& text : texts)
        to.set(index++, text.c_str());
}

std::vector<std::string> read_texts(capnp::List<capnp::Text>::Reader from)
{
    std::vector<std::string> texts;
    for (const auto text : from)
        texts.emplace_back(text.begin(), text.end());
    return texts;
}

void write_reports(protocol::Beat::Builder to, const heartbeat_message& beat)
{
    auto rows = to.initLeavingReports(beat.leaving_reports.size());
    for (std::size_t index = 0; index < beat.leaving_reports.size(); ++index)
    {
        const auto& report = beat.leaving_reports[index];
        rows[index].setHost(report.host.c_str());
        rows[index].setIncarnation(report.incarnation);
        rows[index].setCount(report.count);
        write_texts(rows[index].initEndpoints(report.endpoints.size()),
                    report.endpoints);
    }
}

} // namespace

void write(protocol::Beat::Builder to, const heartbeat_message& beat)
{
    to.setSender(beat.sender.c_str());
    write_hosts(to, beat);
    to.setGeneration(beat.generation);
    to.setHostList(beat.host_list);
    write_evidence(to, beat);
    auto ends = to.initEnds(beat.ends.size());
    for (std::size_t index = 0; index < beat.ends.size(); ++index)
    {
        const auto& end = beat.ends[index];
        ends[index].setMove(end.key.c_str());
        ends[index].setTakenBack(end.state == move_state::taken_back);
        ends[index].setReason(end.reason.c_str());
    }
    write_reports(to, beat);
    write_texts(to.initQuarantined(beat.quarantined.size()), beat.quarantined);
}

heartbeat_message read(protocol::Beat::Reader from)
{
    heartbeat_message beat;
    beat.sender = from.getSender().cStr();
    for (const auto host : from.getHosts())
        beat.hosts.push_back({host.getHost().cStr(), host.getIncarnation(),
                              host.getCount(), host.getLeaving()});
    beat.generation = from.getGeneration();
    beat.host_list = from.getHostList();
    for (const auto row : from.getEvidence())
        beat.evidence[row.getMove().cStr()][row.getRoute().cStr()] = {
            read(row.getFrom()), read(row.getTo()), read(row.getToAll()),
            read(row.getToRecent())};
    for (const auto end : from.getEnds())
        beat.ends.push_back(
            {end.getMove().cStr(),
             end.getTakenBack() ? move_state::taken_back : move_state::done,
             end.getReason().cStr()});
    for (const auto row : from.getLeavingReports())
    {
        const auto names = read_texts(row.getEndpoints());
        beat.leaving_reports.push_back({row.getHost().cStr(),
                                        row.getIncarnation(),
                                        row.getCount(),
                                        {names.begin(), names.end()}});
    }
    beat.quarantined = read_texts(from.getQuarantined());
    return beat;
}

} // namespace rhubarbgrade
