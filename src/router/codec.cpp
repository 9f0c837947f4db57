#include "codec.hpp"

#include <string>  // string
#include <variant> // visit

#include <capnp/blob.h> // Data, Text

namespace rhubarbgrade
{
namespace
{

using protocol::Operation;

protocol::Pool to_wire(token_pool pool)
{
    return pool == token_pool::solo ? protocol::Pool::SOLO
                                    : protocol::Pool::SHARED;
}

token_pool from_wire(protocol::Pool pool)
{
    return pool == protocol::Pool::SOLO ? token_pool::solo : token_pool::shared;
}

std::string text(capnp::Text::Reader from)
{
    return {from.begin(), from.end()};
}

std::string bytes(capnp::Data::Reader from)
{
    return {reinterpret_cast<const char*>(from.begin()), from.size()};
}

capnp::Data::Reader bytes(const std::string& from)
{
    return {reinterpret_cast<const capnp::byte*>(from.data()), from.size()};
}

struct writer
{
    Operation::Builder to;

    template <typename Group, typename Step>
    static void write_amount(Group group, const Step& step)
    {
        group.setCustomer(step.customer.c_str());
        group.setTokens(step.tokens);
    }

    void operator()(const credit& step)
    {
        write_amount(to.initCredit(), step);
    }

    void operator()(const debit& step)
    {
        write_amount(to.initDebit(), step);
    }

    void operator()(const set_aside& step)
    {
        write_amount(to.initSetAside(), step);
    }

    void operator()(const put_back& step)
    {
        write_amount(to.initPutBack(), step);
    }

    void operator()(const reserve& step)
    {
        auto group = to.initReserve();
        group.setRequest(step.request.c_str());
        write_amount(group, step);
        group.setEndpoint(step.endpoint.c_str());
        group.setPool(to_wire(step.pool));
    }

    void operator()(const assign& step)
    {
        auto group = to.initAssign();
        group.setRequest(step.request.c_str());
        group.setEndpoint(step.endpoint.c_str());
    }

    void operator()(const settle& step)
    {
        auto group = to.initSettle();
        group.setRequest(step.request.c_str());
        group.setTokens(step.tokens);
    }

    void operator()(const release& step)
    {
        to.initRelease().setRequest(step.request.c_str());
    }

    void operator()(const store_bills& step)
    {
        auto group = to.initStoreBills();
        group.setBatch(step.batch);
        group.setThrough(step.through);
    }

    void operator()(const mark_settled& step)
    {
        to.initMarkSettled().setBatch(step.batch);
    }

    void operator()(const adopt_reservation& step)
    {
        auto group = to.initAdoptReservation();
        group.setRequest(step.request.c_str());
        write_amount(group, step);
        group.setEndpoint(step.endpoint.c_str());
        group.setPool(to_wire(step.pool));
        write(group.initOrigin(), step.origin);
    }

    void operator()(const adopt_bill& step)
    {
        auto group = to.initAdoptBill();
        group.setRequest(step.request.c_str());
        write_amount(group, step);
        group.setEndpoint(step.endpoint.c_str());
        group.setPool(to_wire(step.pool));
        group.setNumber(step.number);
    }

    void operator()(const recall_request& step)
    {
        auto group = to.initRecallRequest();
        group.setRequest(step.request.c_str());
        group.setEndpoint(step.endpoint.c_str());
    }

    void operator()(const adopt_keys& step)
    {
        write(to.initAdoptKeys().initOrigin(), step.origin);
    }

    void operator()(const claim_key& step)
    {
        auto group = to.initClaimKey();
        group.setKey(step.key.c_str());
        group.setRequest(step.request.c_str());
    }

    void operator()(const drop_claim& step)
    {
        to.initDropClaim().setKey(step.key.c_str());
    }

    void operator()(const answer_key& step)
    {
        auto group = to.initAnswerKey();
        group.setKey(step.key.c_str());
        group.setStatus(step.status);
        group.setContentType(step.content_type.c_str());
        group.setBody(bytes(step.body));
    }
};

template <typename Step, typename Group>
Step read_amount(Group group)
{
    return Step{text(group.getCustomer()), group.getTokens()};
}

reserve read_reserve(Operation::Reserve::Reader group)
{
    return {text(group.getRequest()), text(group.getCustomer()),
            group.getTokens(), text(group.getEndpoint()),
            from_wire(group.getPool())};
}

adopt_reservation
read_adopt_reservation(Operation::AdoptReservation::Reader group)
{
    return {text(group.getRequest()),   text(group.getCustomer()),
            group.getTokens(),          text(group.getEndpoint()),
            from_wire(group.getPool()), read(group.getOrigin())};
}

adopt_bill read_adopt_bill(Operation::AdoptBill::Reader group)
{
    return {text(group.getRequest()),   text(group.getCustomer()),
            group.getTokens(),          text(group.getEndpoint()),
            from_wire(group.getPool()), group.getNumber()};
}

answer_key read_answer_key(Operation::AnswerKey::Reader group)
{
    return {text(group.getKey()), group.getStatus(),
            text(group.getContentType()), bytes(group.getBody())};
}

} // namespace

void write(protocol::LedgerId::Builder to, const ledger_id& id)
{
    to.setHost(id.host.c_str());
    to.setIncarnation(id.incarnation);
}

ledger_id read(protocol::LedgerId::Reader from)
{
    return {text(from.getHost()), from.getIncarnation()};
}

void write(protocol::Operation::Builder to, const operation& step)
{
    std::visit(writer{to}, step);
}

operation read(protocol::Operation::Reader from)
{
    switch (from.which())
    {
    case Operation::CREDIT:
        return read_amount<credit>(from.getCredit());
    case Operation::DEBIT:
        return read_amount<debit>(from.getDebit());
    case Operation::SET_ASIDE:
        return read_amount<set_aside>(from.getSetAside());
    case Operation::PUT_BACK:
        return read_amount<put_back>(from.getPutBack());
    case Operation::RESERVE:
        return read_reserve(from.getReserve());
    case Operation::ASSIGN:
        return assign{text(from.getAssign().getRequest()),
                      text(from.getAssign().getEndpoint())};
    case Operation::SETTLE:
        return settle{text(from.getSettle().getRequest()),
                      from.getSettle().getTokens()};
    case Operation::RELEASE:
        return release{text(from.getRelease().getRequest())};
    case Operation::STORE_BILLS:
        return store_bills{from.getStoreBills().getBatch(),
                           from.getStoreBills().getThrough()};
    case Operation::MARK_SETTLED:
        return mark_settled{from.getMarkSettled().getBatch()};
    case Operation::ADOPT_RESERVATION:
        return read_adopt_reservation(from.getAdoptReservation());
    case Operation::ADOPT_BILL:
        return read_adopt_bill(from.getAdoptBill());
    case Operation::RECALL_REQUEST:
        return recall_request{text(from.getRecallRequest().getRequest()),
                              text(from.getRecallRequest().getEndpoint())};
    case Operation::ADOPT_KEYS:
        return adopt_keys{read(from.getAdoptKeys().getOrigin())};
    case Operation::CLAIM_KEY:
        return claim_key{text(from.getClaimKey().getKey()),
                         text(from.getClaimKey().getRequest())};
    case Operation::DROP_CLAIM:
        return drop_claim{text(from.getDropClaim().getKey())};
    case Operation::ANSWER_KEY:
        return read_answer_key(from.getAnswerKey());
    }
    // An operation of a newer protocol version is replaced by the release of a
    // request without an id, which does not change the ledger.
    return release{};
}

} // namespace rhubarbgrade
