#include "router_server.hpp"

#include <chrono> // steady_clock
#include <string> // string

#include "../control/control_core.hpp" // control_core
#include "codec.hpp"                   // read

namespace rhubarbgrade
{
namespace
{

capnp::Data::Reader bytes(const std::string& from)
{
    return {reinterpret_cast<const capnp::byte*>(from.data()), from.size()};
}

protocol::ReplicateStatus to_wire(replica_answer answer)
{
    switch (answer)
    {
    case replica_answer::ok:
        return protocol::ReplicateStatus::OK;
    case replica_answer::reset:
    case replica_answer::silent:
        return protocol::ReplicateStatus::RESET;
    case replica_answer::closing:
        return protocol::ReplicateStatus::CLOSING;
    case replica_answer::closed:
        break;
    }
    return protocol::ReplicateStatus::CLOSED;
}

protocol::ClaimStatus to_wire(claim_status status)
{
    switch (status)
    {
    case claim_status::claimed:
        return protocol::ClaimStatus::CLAIMED;
    case claim_status::answered:
        return protocol::ClaimStatus::ANSWERED;
    case claim_status::pending:
        return protocol::ClaimStatus::PENDING;
    case claim_status::not_owner:
        return protocol::ClaimStatus::NOT_OWNER;
    case claim_status::unavailable:
        break;
    }
    return protocol::ClaimStatus::UNAVAILABLE;
}

} // namespace

router_server::router_server(control_core& core) : m_core(core)
{
}

kj::Promise<void> router_server::beat(BeatContext context)
{
    m_core.take_beat(read(context.getParams().getBeat()));
    write(context.getResults().initBeat(), m_core.make_heartbeat_response());
    return kj::READY_NOW;
}

kj::Promise<void> router_server::replicate(ReplicateContext context)
{
    const auto params = context.getParams();
    replica_message message;
    message.ledger = read(params.getLedger());
    message.second.boot = params.getSecondBoot();
    message.session = params.getSession();
    message.sync = params.getSync();
    message.first = params.getFirst();
    for (const auto step : params.getOperations())
        message.operations.push_back(read(step));
    const auto answer = m_core.replicas().apply_message(
        message, std::chrono::steady_clock::now());
    context.getResults().setStatus(to_wire(answer));
    return kj::READY_NOW;
}

kj::Promise<void> router_server::give(GiveContext context)
{
    const auto params = context.getParams();
    return m_core.grants()
        .give(params.getCustomer().cStr(), params.getTokens(),
              read(params.getAsker()), params.getNumber())
        .then(
            [context](token_count_t tokens) mutable
            {
                context.getResults().setTokens(tokens);
            });
}

kj::Promise<void> router_server::handBack(HandBackContext context)
{
    const auto params = context.getParams();
    return m_core.grants()
        .hand_back(params.getCustomer().cStr(), params.getTokens())
        .then(
            [context](token_count_t tokens) mutable
            {
                context.getResults().setTokens(tokens);
            });
}

kj::Promise<void> router_server::manifest(ManifestContext context)
{
    context.getResults().setText(bytes(m_core.configuration().manifest_text()));
    return kj::READY_NOW;
}

kj::Promise<void> router_server::part(PartContext context)
{
    const auto* const text =
        m_core.configuration().part(context.getParams().getDigest().cStr());
    if (text != nullptr)
        context.getResults().setText(bytes(*text));
    return kj::READY_NOW;
}

kj::Promise<void> router_server::findRequest(FindRequestContext context)
{
    const auto endpoint =
        m_core.find_request_locally(context.getParams().getRequest().cStr());
    context.getResults().setFound(!endpoint.empty());
    context.getResults().setEndpoint(endpoint.c_str());
    return kj::READY_NOW;
}

kj::Promise<void> router_server::claim(ClaimContext context)
{
    const auto params = context.getParams();
    const claim_call call{read(params.getOwner()), params.getKey().cStr(),
                          params.getRequest().cStr()};
    return m_core.claim_locally(call).then(
        [context](const claim_answer& answer) mutable
        {
            auto results = context.getResults();
            results.setStatus(to_wire(answer.status));
            results.setAnswerStatus(answer.answer_status);
            results.setContentType(answer.content_type.c_str());
            results.setBody(bytes(answer.body));
        });
}

kj::Promise<void> router_server::answer(AnswerContext context)
{
    const auto params = context.getParams();
    const auto owner = read(params.getOwner());
    if (!m_core.owns_keys_of(owner))
        return kj::READY_NOW;
    const auto body = params.getBody();
    return m_core.answer(
        owner, {params.getKey().cStr(), params.getStatus(),
                params.getContentType().cStr(),
                std::string(reinterpret_cast<const char*>(body.begin()),
                            body.size())});
}

kj::Promise<void> router_server::dropClaim(DropClaimContext context)
{
    const auto params = context.getParams();
    const auto owner = read(params.getOwner());
    if (!m_core.owns_keys_of(owner))
        return kj::READY_NOW;
    return m_core.drop_claim(owner, params.getKey().cStr());
}

kj::Promise<void> router_server::hosts(HostsContext context)
{
    const auto& members = m_core.members();
    auto host_list = context.getResults().initHosts(members.size());
    std::size_t index = 0;
    for (const auto& [name, member_entry] : members)
    {
        auto entry = host_list[index++];
        entry.setName(name.c_str());
        entry.setZone(member_entry.listed.zone.c_str());
        entry.setAddress(member_entry.listed.address.c_str());
        entry.setLeaving(member_entry.listed.leaving);
    }
    return kj::READY_NOW;
}

} // namespace rhubarbgrade
