#pragma once

#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <deque>              // deque
#include <functional>         // function
#include <memory>             // enable_shared_from_this, shared_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <string_view>        // string_view

#include <rhubarbgrade/detail/base/error.hpp>           // result
#include <rhubarbgrade/detail/base/types.hpp>           // token_count_t
#include <rhubarbgrade/detail/endpoint/engine_call.hpp> // engine_call
#include <rhubarbgrade/detail/routing/retry.hpp>        // attempt_end

namespace rhubarbgrade
{

/// @brief How a stream ended, or why it never began.
struct stream_outcome
{
    bool complete = false; ///< the engine's last event has come
    int status = 0;        ///< of the engine's answer, 0 if there was none
    attempt_end end = attempt_end::may_have_run;
    bool endpoint_died = false; ///< it takes or answers no connections
    token_count_t used = 0;     ///< as the engine reports, else events seen
    std::uint64_t events = 0;
};

/// @brief A stream from an engine, read by a thread of its own into a buffer
///        of bounded size.
///
/// The session keeps itself alive until the engine's side has ended. A
/// connection that is lost or falls silent is replaced, and the run goes on
/// where it was. The consumer may leave before the end: then the stream is
/// either read to its end and dropped, or cancelled.
class engine_stream : public std::enable_shared_from_this<engine_stream>
{
public:
    /// Called once with the outcome, on whichever thread sees the end after
    /// the consumer has left.
    using ended_t = std::function<void(const stream_outcome&)>;

    /// @param[in] call    the request
    /// @param[in] events  whether the answer is an event stream; if not, it is
    ///                    one JSON document
    /// @param[in] buffer  bytes of events held for the consumer at the most
    engine_stream(engine_call call, bool events, std::size_t buffer);

    /// @brief Starts the reading thread.
    void start();

    /// @brief Waits for the engine's answer to begin.
    /// @return nothing once its status is 200, else how the attempt ended
    std::optional<stream_outcome> wait_head();

    /// @brief Waits for the next events.
    /// @return events, or an empty text once the stream has ended
    std::string pull();

    /// @brief The outcome; whole only after @ref pull returned an empty text.
    stream_outcome outcome() const;

    /// @brief The consumer leaves.
    /// @param[in] finish  whether the engine should run to its end
    /// @param[in] ended   gets the outcome
    void leave(bool finish, ended_t ended);

private:
    enum class phase
    {
        opening,
        streaming,
        ended
    };

    void run();
    bool run_once(int attempt);
    bool take_bytes(std::string_view bytes);
    bool take_event(std::string_view event);
    bool take_document(std::string_view bytes);
    void end_document();
    void note_usage(std::string_view document);
    void finish();

    engine_call m_call;
    bool m_is_events;
    std::size_t m_limit;
    std::string m_document;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    phase m_phase = phase::opening;
    std::deque<std::string> m_events;
    std::size_t m_buffered = 0;
    stream_outcome m_outcome;
    std::uint64_t m_to_skip = 0;
    bool m_left = false;
    bool m_cancel = false;
    ended_t m_ended;
    std::shared_ptr<class sse_splitter> m_splitter;
};

/// @brief Cancels a run on an engine.
/// @return what it used, or nothing if the engine does not know it or does
///         not answer
std::optional<token_count_t> cancel_run(const engine_call& call);

} // namespace rhubarbgrade
