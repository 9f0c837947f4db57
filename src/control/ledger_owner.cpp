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

/// Maximum number of operations in one message.
constexpr std::size_t max_batch_operations = 512;

/// Number of times a message is sent before the second host counts as
/// unreachable.
constexpr int max_send_attempts = 2;

std::uint64_t new_session_id()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

tl::unexpected<error> unreachable_error(const second_host& second)
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
    : m_send(std::move(send)), m_on_cut(std::move(on_cut)), m_send_task(nullptr)
{
}

void ledger_owner::register_ledger(const ledger_id& id,
                                   const second_host& second)
{
    if (m_ledger.id != id)
    {
        m_ledger = ledger{};
        m_ledger.id = id;
        m_ledger.key_issuers.insert(id);
    }
    m_second = second;
    m_closure_reported = false;
    m_state = second.host.empty() ? pairing::alone : pairing::paired;
    start_session();
}

void ledger_owner::resume()
{
    if (m_state != pairing::cut || m_closure_reported)
        return;
    m_state = pairing::paired;
    start_session();
}

ledger ledger_owner::abandon()
{
    enter_cut();
    m_state = pairing::unregistered;
    return std::exchange(m_ledger, ledger{});
}

kj::Promise<result<void>> ledger_owner::propose(operation step)
{
    if (m_state == pairing::unregistered)
        return result<void>(failure(errc::not_registered, "propose"));
    if (m_state == pairing::cut && !allowed_while_cut(step))
        return result<void>(unreachable_error(m_second));
    auto applied = apply_operation(m_ledger, step);
    if (!applied || m_state != pairing::paired)
        return applied;
    auto promise = kj::newPromiseAndFulfiller<result<void>>();
    enqueue(std::move(step), kj::mv(promise.fulfiller));
    return kj::mv(promise.promise);
}

result<void> ledger_owner::apply_now(operation step)
{
    if (m_state == pairing::unregistered)
        return failure(errc::not_registered, "apply_now");
    auto applied = apply_operation(m_ledger, step);
    if (applied && m_state == pairing::paired)
        enqueue(std::move(step), nullptr);
    return applied;
}

bool ledger_owner::allowed_while_cut(const operation& step) const
{
    const auto* const assignment = std::get_if<assign>(&step);
    if (assignment == nullptr)
        return !std::holds_alternative<claim_key>(step);
    const auto found = m_ledger.reservations.find(assignment->request);
    return found != m_ledger.reservations.end() &&
           found->second.pool == token_pool::solo;
}

void ledger_owner::enqueue(
    operation step,
    kj::Maybe<kj::Own<kj::PromiseFulfiller<result<void>>>> waiter)
{
    m_queue.push_back({std::move(step), kj::mv(waiter)});
    send_next_batch();
}

void ledger_owner::start_session()
{
    m_queue.clear();
    m_sending = false;
    m_send_task = nullptr;
    m_first = 0;
    m_session = new_session_id();
    if (m_state != pairing::paired)
        return;
    for (auto& step : to_operations(m_ledger))
        m_queue.push_back({std::move(step), nullptr});
    m_sync = m_queue.size();
    send_next_batch();
}

void ledger_owner::send_next_batch()
{
    if (m_sending || m_queue.empty() || m_state != pairing::paired)
        return;
    m_sending = true;
    const auto count = std::min(m_queue.size(), max_batch_operations);
    m_send_task = send_batch(count, 1).eagerlyEvaluate(nullptr);
}

kj::Promise<void> ledger_owner::send_batch(std::size_t count, int attempt)
{
    replica_message message{m_ledger.id, m_second, m_session,
                            m_sync,      m_first,  {}};
    for (std::size_t index = 0; index < count; ++index)
        message.operations.push_back(m_queue[index].step);
    return m_send(message).then(
        [this, count, attempt](replica_answer answer) -> kj::Promise<void>
        {
            if (answer == replica_answer::silent && attempt < max_send_attempts)
                return send_batch(count, attempt + 1);
            // Finishing may replace m_send_task, which owns this
            // continuation, so it runs as an event of its own.
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
        m_closure_reported =
            answer != replica_answer::silent && answer != replica_answer::reset;
        enter_cut();
        m_on_cut();
        return;
    }
    for (std::size_t index = 0; index < count; ++index)
    {
        KJ_IF_MAYBE (waiter, m_queue.front().waiter)
        {
            (*waiter)->fulfill(result<void>());
        }
        m_queue.pop_front();
    }
    m_first += count;
    send_next_batch();
}

void ledger_owner::enter_cut()
{
    m_state = pairing::cut;
    auto unacknowledged = std::exchange(m_queue, {});
    for (auto& entry : unacknowledged)
        KJ_IF_MAYBE (waiter, entry.waiter)
        {
            (*waiter)->fulfill(result<void>(unreachable_error(m_second)));
        }
}

} // namespace rhubarbgrade
