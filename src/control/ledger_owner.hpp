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

/// @brief The second host of a ledger: a host and the start of its process.
struct second_host
{
    std::string host; ///< empty if there is none
    std::uint64_t boot = 0;

    bool operator==(const second_host&) const = default;
};

/// @brief How a ledger is protected at present.
enum class pairing
{
    unregistered, ///< no ledger yet
    alone,        ///< the platform says that no host may close it
    paired,       ///< a second host acknowledges each operation
    cut,          ///< the second host is silent: it may have closed the ledger
};

/// @brief The name of a pairing in status and logs.
const char* to_string(pairing state);

/// @brief What the second host says to a message of operations.
enum class replica_answer
{
    ok,
    reset, ///< send the whole ledger again
    closing,
    closed,
    silent, ///< no answer in time
};

/// @brief A message of operations to the second host.
struct replica_message
{
    ledger_id ledger;
    second_host second;
    std::uint64_t session = 0;
    std::uint64_t sync = 0;  ///< operations that rebuild the ledger
    std::uint64_t first = 0; ///< number of the first operation in the session
    std::vector<operation> operations;
};

/// @brief Owns this host's ledger and replicates it to the second host.
///
/// Runs on the control thread only. Operations are sent in order, in batches;
/// the promise of each is kept once the second host has applied it.
class ledger_owner
{
public:
    using send_t =
        std::function<kj::Promise<replica_answer>(const replica_message&)>;

    /// @param[in] send    sends a message to the second host
    /// @param[in] on_cut  called when the second host falls silent
    ledger_owner(send_t send, std::function<void()> on_cut);

    const ledger& book() const
    {
        return m_book;
    }

    pairing state() const
    {
        return m_state;
    }

    const second_host& second() const
    {
        return m_second;
    }

    /// @brief Whether the second host has said that the ledger is closed or
    ///        being closed, so that only the platform can tell.
    bool doubted() const
    {
        return m_doubted;
    }

    /// @brief Begins a new ledger, or goes on with the present one under
    ///        another second host. The platform must have recorded it.
    void register_ledger(const ledger_id& id, const second_host& second);

    /// @brief Tries the same second host again after it was silent.
    void resume();

    /// @brief Gives the ledger up: another host has closed it.
    /// @return the ledger as it was
    ledger abandon();

    /// @brief Applies an operation and replicates it.
    /// @return kept once the operation is safe; fails at once if it does not
    ///         apply or needs a second host that is silent
    kj::Promise<result<void>> propose(operation step);

    /// @brief Applies an operation that needs no acknowledgement of its own;
    ///        it is replicated in order with the others.
    result<void> apply_now(operation step);

private:
    struct pending
    {
        operation step;
        kj::Maybe<kj::Own<kj::PromiseFulfiller<result<void>>>> done;
    };

    bool allowed_while_cut(const operation& step) const;
    void enqueue(operation step,
                 kj::Maybe<kj::Own<kj::PromiseFulfiller<result<void>>>> done);
    void start_session();
    void pump();
    kj::Promise<void> send_batch(std::size_t count, int attempt);
    void finish_batch(std::size_t count, replica_answer answer);
    void become_cut();

    send_t m_send;
    std::function<void()> m_on_cut;
    ledger m_book;
    pairing m_state = pairing::unregistered;
    second_host m_second;
    bool m_doubted = false;
    std::uint64_t m_session = 0;
    std::uint64_t m_sync = 0;
    std::uint64_t m_first = 0; ///< number of m_queue's front in the session
    std::deque<pending> m_queue;
    bool m_sending = false;
    kj::Promise<void> m_task;
};

} // namespace rhubarbgrade
