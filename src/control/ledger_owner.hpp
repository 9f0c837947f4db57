#pragma once

#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <string>     // string
#include <vector>     // vector

#include <kj/async.h> // Promise, PromiseFulfiller, TaskSet

#include <rhubarbgrade/detail/base/error.hpp>       // result
#include <rhubarbgrade/detail/budget/ledger.hpp>    // ledger
#include <rhubarbgrade/detail/budget/operation.hpp> // operation

namespace rhubarbgrade
{

/// @brief The host that holds the replica of a ledger, and the only one that
///        may close the ledger and adopt its contents.
struct second_host
{
    std::string host; ///< empty if the ledger has no replica

    /// Incarnation of its process: start time, milliseconds of the wall clock.
    std::uint64_t boot = 0;

    bool operator==(const second_host&) const = default;
};

/// @brief Replication state of a host's ledger.
enum class pairing
{
    unregistered, ///< this host has no ledger
    alone,        ///< registered without a second host; no host may close it
    paired,       ///< operations are replicated to the second host
    cut,          ///< no acknowledgements: the ledger may have been closed
};

/// @brief Name of a pairing as printed in the status text.
const char* to_string(pairing state);

/// @brief Response of the second host to a @ref replica_message.
enum class replica_answer
{
    ok,      ///< all operations of the message are applied
    reset,   ///< out of sequence: a new session has to be started
    closing, ///< the ledger is being closed or the process was restarted
    closed,  ///< the ledger is closed
    silent,  ///< no response before the timeout
};

/// @brief A batch of operations for the second host.
///
/// A session starts with the operations that rebuild the whole ledger; those
/// that the owner applies afterwards follow. Operations are numbered from 0 in
/// each session.
struct replica_message
{
    ledger_id ledger;
    second_host second;
    std::uint64_t session = 0; ///< id; a later session has a higher one
    std::uint64_t sync = 0;    ///< number of operations that rebuild the ledger
    std::uint64_t first = 0;   ///< number of the first operation of the batch
    std::vector<operation> operations;
};

/// @brief Owns this host's ledger and replicates it to the second host.
///
/// Used on the control thread only. Operations are sent in order, in batches,
/// one batch at a time.
class ledger_owner
{
public:
    using send_t =
        std::function<kj::Promise<replica_answer>(const replica_message&)>;

    /// @param[in] send    sends a message to the second host
    /// @param[in] on_cut  called when a batch is not acknowledged, after the
    ///                    change to @ref pairing::cut
    ledger_owner(send_t send, std::function<void()> on_cut);

    const ledger& book() const
    {
        return m_ledger;
    }

    pairing state() const
    {
        return m_state;
    }

    const second_host& second() const
    {
        return m_second;
    }

    /// @brief Whether the second host reported that the ledger is closed or
    ///        being closed; only the platform's ledger table then shows whether
    ///        this host still owns it.
    bool closure_reported() const
    {
        return m_closure_reported;
    }

    /// @brief Starts a new ledger if @a id is a new one, or continues the
    ///        current ledger with another second host; then replicates it.
    /// @pre the platform has recorded @a id and @a second
    void register_ledger(const ledger_id& id, const second_host& second);

    /// @brief Starts a new session with the same second host after it stopped
    ///        acknowledging. Does nothing if it reported the ledger closed.
    void resume();

    /// @brief Gives up the ledger after another host has closed it; pending
    ///        operations fail.
    /// @return the contents of the ledger
    ledger abandon();

    /// @brief Applies an operation and waits for its replication.
    /// @return resolves once the second host has applied the operation, or at
    ///         once in the states without replication; an error if the
    ///         operation does not apply, needs an acknowledgement while the
    ///         second host is unreachable, or is not acknowledged
    kj::Promise<result<void>> propose(operation step);

    /// @brief Applies an operation without waiting for its acknowledgement; it
    ///        is replicated in order with the others.
    result<void> apply_now(operation step);

private:
    struct queued_operation
    {
        operation step;
        /// Null if the caller does not wait for the acknowledgement.
        kj::Maybe<kj::Own<kj::PromiseFulfiller<result<void>>>> waiter;
    };

    /// Whether an operation needs no acknowledgement. A claim and the dispatch
    /// of a request that uses shared tokens do, because the second host may
    /// have adopted them; solo tokens are spent by this host only.
    bool allowed_while_cut(const operation& step) const;
    void enqueue(operation step,
                 kj::Maybe<kj::Own<kj::PromiseFulfiller<result<void>>>> waiter);
    void start_session();
    void send_next_batch();
    kj::Promise<void> send_batch(std::size_t count, int attempt);
    void finish_batch(std::size_t count, replica_answer answer);
    void enter_cut();

    send_t m_send;
    std::function<void()> m_on_cut;
    ledger m_ledger;
    pairing m_state = pairing::unregistered;
    second_host m_second;
    bool m_closure_reported = false;
    std::uint64_t m_session = 0;
    std::uint64_t m_sync = 0;  ///< operations that rebuild the ledger
    std::uint64_t m_first = 0; ///< number of the queue's front in the session
    std::deque<queued_operation> m_queue; ///< not acknowledged, in order
    bool m_sending = false;
    kj::Promise<void> m_send_task;
};

} // namespace rhubarbgrade
