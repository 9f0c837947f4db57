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
#include <rhubarbgrade/detail/routing/retry.hpp>        // attempt_outcome

namespace rhubarbgrade
{

/// @brief Result of a stream, or of an attempt that did not start one.
struct stream_outcome
{
    bool complete = false; ///< the engine's last event was received
    int status = 0; ///< HTTP status of the engine, 0 if it did not respond
    attempt_outcome end = attempt_outcome::may_have_run;
    bool endpoint_died = false; ///< it refuses or closes connections
    /// Reported by the engine; without a report, the number of events.
    token_count_t used_tokens = 0;
    std::uint64_t events = 0;
};

/// @brief A stream from an engine, read on a thread of its own into a buffer
///        of bounded size.
///
/// The reading thread keeps the object alive until the engine's response has
/// ended. A connection that is lost or times out after the engine has
/// responded is replaced, and the run is resumed where it was interrupted.
/// The consumer may disconnect before the end; the stream is then either read
/// to its end and discarded, or cancelled.
class engine_stream : public std::enable_shared_from_this<engine_stream>
{
public:
    /// Called once with the outcome after the consumer has disconnected: on
    /// the reading thread, or by @ref disconnect if the stream has ended.
    using end_handler_t = std::function<void(const stream_outcome&)>;

    /// @param[in] call    the request
    /// @param[in] is_event_stream  whether the response is an event stream;
    ///                             otherwise it is a single JSON document
    /// @param[in] buffer_limit     bytes of buffered events above which the
    ///                             reading thread waits for the consumer
    engine_stream(engine_call call, bool is_event_stream,
                  std::size_t buffer_limit);

    /// @brief Starts the reading thread.
    void start();

    /// @brief Waits for the first event, or for the whole document.
    /// @return nothing if there is one, else the outcome of the failed attempt
    std::optional<stream_outcome> wait_for_first_event();

    /// @brief Waits for the next events and removes them from the buffer.
    /// @return the events, or an empty string once the stream has ended
    std::string pull();

    /// @brief The outcome; final only after @ref pull has returned an empty
    ///        string.
    stream_outcome outcome() const;

    /// @brief Disconnects the consumer and discards all further events.
    /// @param[in] run_to_end  whether the run continues to its end; otherwise
    ///                        it is cancelled
    /// @param[in] on_end      receives the outcome
    void disconnect(bool run_to_end, end_handler_t on_end);

private:
    enum class phase
    {
        opening,
        streaming,
        ended
    };

    void run();
    bool run_once(int attempt);
    bool receive_bytes(std::string_view bytes);
    bool receive_event(std::string_view event);
    bool append_document(std::string_view bytes);
    void complete_document();
    void record_usage(std::string_view document);
    void finish();

    engine_call m_call;
    bool m_is_event_stream;
    std::size_t m_buffer_limit;
    std::string m_document;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    phase m_phase = phase::opening;
    std::deque<std::string> m_events;
    std::size_t m_buffered_bytes = 0;
    stream_outcome m_outcome;
    std::uint64_t m_events_to_skip = 0; ///< sent again after a reconnect
    bool m_disconnected = false;
    bool m_cancel_requested = false;
    end_handler_t m_on_end;
    std::shared_ptr<class sse_splitter> m_splitter;
};

/// @brief Cancels a run on an engine.
/// @return the tokens used, or nothing if the engine does not know the run or
///         does not respond
std::optional<token_count_t> cancel_run(const engine_call& call);

} // namespace rhubarbgrade
