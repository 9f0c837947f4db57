#include "ledger_owner.hpp"

#include <algorithm> // min
#include <chrono>    // system_clock
#include <cstdint>   // uint64_t
#include <utility>   // exchange, move
#include <variant>   // get_if, holds_alternative
#include <vector>    // vector

namespace rhubarbgrade
{
namespace
{

/// Operations in one message at the most.
constexpr std::size_t batch_limit = 512;

/// Times a message is sent before the second host counts as silent.
constexpr int send_attempts = 2;

std::uint64_t new_session()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

tl::unexpected<error> cut_failure(const second_host& second)
{
    return failure(errc::second_unreachable, "replicate", second.host);
}

} // namespace

const char* to_string(pairing state)
{
    switch (state)
    {
    case pairing::unregistered:
        return "unregistered";
    case pairing::alone:
        return "alone";
    case pairing::paired:
        return "paired";
    case pairing::cut:
        return "cut";
    }
    return "unknown";
}

ledger_owner::ledger_owner(send_t send, std::function<void()> on_cut)
    : m_send(std::move(send)), m_on_cut(std::move(on_cut)), m_task(nullptr)
{
}

void ledger_owner::register_ledger(const ledger_id& id,
                                   const second_host& second)
{
    if (m_book.id != id)
    {
        m_book = ledger{};
        m_book.id = id;
        m_book.keys_of.insert(id);
    }
    m_second = second;
    m_doubted = false;
    m_state = second.host.empty() ? pairing::alone : pairing::paired;
    start_session();
}

void ledger_owner::resume()
{
    if (m_state != pairing::cut || m_doubted)
        return;
    m_state = pairing::paired;
    start_session();
}

ledger ledger_owner::abandon()
{
    become_cut();
    m_state = pairing::unregistered;
    return std::exchange(m_book, ledger{});
}

kj::Promise<result<void>> ledger_owner::propose(operation step)
{
    if (m_state == pairing::unregistered)
        return result<void>(failure(errc::not_registered, "propose"));
    if (m_state == pairing::cut && !allowed_while_cut(step))
        return result<void>(cut_failure(m_second));
    auto done = apply_operation(m_book, step);
    if (!done || m_state != pairing::paired)
        return done;
    auto promise = kj::newPromiseAndFulfiller<result<void>>();
    enqueue(std::move(step), kj::mv(promise.fulfiller));
    return kj::mv(promise.promise);
}

result<void> ledger_owner::apply_now(operation step)
{
    if (m_state == pairing::unregistered)
        return failure(errc::not_registered, "apply_now");
    auto done = apply_operation(m_book, step);
    if (done && m_state == pairing::paired)
        enqueue(std::move(step), nullptr);
    return done;
}

bool ledger_owner::allowed_while_cut(const operation& step) const
{
    const auto* const assigned = std::get_if<assign>(&step);
    if (assigned == nullptr)
        return !std::holds_alternative<claim_key>(step);
    const auto found = m_book.reservations.find(assigned->request);
    return found != m_book.reservations.end() &&
           found->second.pool == token_pool::solo;
}

void ledger_owner::enqueue(
    operation step, kj::Maybe<kj::Own<kj::PromiseFulfiller<result<void>>>> done)
{
    m_queue.push_back({std::move(step), kj::mv(done)});
    pump();
}

void ledger_owner::start_session()
{
    m_queue.clear();
    m_sending = false;
    m_task = nullptr;
    m_first = 0;
    m_session = new_session();
    if (m_state != pairing::paired)
        return;
    for (auto& step : to_operations(m_book))
        m_queue.push_back({std::move(step), nullptr});
    m_sync = m_queue.size();
    pump();
}

void ledger_owner::pump()
{
    if (m_sending || m_queue.empty() || m_state != pairing::paired)
        return;
    m_sending = true;
    const auto count = std::min(m_queue.size(), batch_limit);
    m_task = send_batch(count, 1).eagerlyEvaluate(nullptr);
}

kj::Promise<void> ledger_owner::send_batch(std::size_t count, int attempt)
{
    replica_message message{m_book.id, m_second, m_session,
                            m_sync,    m_first,  {}};
    for (std::size_t index = 0; index < count; ++index)
        message.operations.push_back(m_queue[index].step);
    return m_send(message).then(
        [this, count, attempt](replica_answer answer) -> kj::Promise<void>
        {
            if (answer == replica_answer::silent && attempt < send_attempts)
                return send_batch(count, attempt + 1);
            // The rest runs as its own event, since it may replace m_task.
            return kj::evalLater(
                [this, count, answer, session = m_session]
                {
                    if (session == m_session)
                        finish_batch(count, answer);
                });
        });
}

void ledger_owner::finish_batch(std::size_t count, replica_answer answer)
{
    m_sending = false;
    if (answer != replica_answer::ok)
    {
        m_doubted =
            answer != replica_answer::silent && answer != replica_answer::reset;
        become_cut();
        m_on_cut();
        return;
    }
    for (std::size_t index = 0; index < count; ++index)
    {
        KJ_IF_MAYBE (done, m_queue.front().done)
        {
            (*done)->fulfill(result<void>());
        }
        m_queue.pop_front();
    }
    m_first += count;
    pump();
}

void ledger_owner::become_cut()
{
    m_state = pairing::cut;
    auto failed = std::exchange(m_queue, {});
    for (auto& entry : failed)
        KJ_IF_MAYBE (done, entry.done)
        {
            (*done)->fulfill(result<void>(cut_failure(m_second)));
        }
}

} // namespace rhubarbgrade
