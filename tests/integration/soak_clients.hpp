#pragma once

#include <poll.h> // poll

#include <atomic>   // atomic
#include <cstdio>   // snprintf
#include <deque>    // deque
#include <list>     // list
#include <memory>   // unique_ptr, shared_ptr
#include <mutex>    // mutex, lock_guard
#include <optional> // optional
#include <random>   // mt19937_64
#include <string>   // string
#include <thread>   // thread
#include <utility>  // move
#include <vector>   // vector

#include "raw_client.hpp" // raw_connection, read_answer, monotonic_ms

namespace harness
{

/// How a client of a soak uses its connections.
enum class client_pace
{
    eager,     ///< sends as soon as the last byte of an answer is in
    pausing,   ///< up to a second later
    idling,    ///< seconds later
    fresh,     ///< each request on a connection of its own
    slow_body, ///< sends the body in parts
    paired     ///< sends two requests along with each other
};

inline const char* name_of(client_pace pace)
{
    constexpr std::array names{"eager", "pausing",   "idling",
                               "fresh", "slow_body", "paired"};
    return names.at(static_cast<std::size_t>(pace));
}

/// A request as its client saw it; times are of the monotonic clock, 0: never.
struct soak_request
{
    std::string id;
    std::string path;
    std::string body;
    int instance = 0; ///< process of a host that it was sent to
    client_pace pace = client_pace::eager;
    bool on_kept_connection = false;
    bool second_of_pair = false;
    /// The request that it was sent along with, whose answer comes first.
    const soak_request* before = nullptr;
    long long limit_ms = 0; ///< its own time limit
    long long begun_at = 0;
    /// The answer before it on the connection; its time may count from here.
    long long due_from = 0;
    long long sent_at = 0;     ///< its last byte was given to the kernel
    long long answered_at = 0; ///< the last byte of its answer was read
    long long ended_at = 0;    ///< its connection's end was seen
    /// The connection was seen open; a late client doesn't prolong it.
    long long open_until = 0;
    bool reset = false;
    bool given_up = false; ///< by the client, after its limit
    std::optional<raw_answer> answer;
};

/// A connection that its host closed though its last answer, just before, had
/// not announced that.
struct soak_closing
{
    int instance = 0;
    std::string last_id; ///< of the request that was answered last
    long long answered_at = 0;
    long long ended_at = 0;
};

/// Where and what the clients of a soak may send now.
struct soak_offer
{
    struct door
    {
        int instance = 0;
        int port = 0;
    };

    std::vector<door> doors;
    std::vector<std::string> keys;
    std::vector<std::string> prefixes; ///< drawn evenly
};

struct soak_counts
{
    std::atomic<int> no_listener = 0;   ///< connections that were refused
    std::atomic<int> closed_idle = 0;   ///< kept connections, by the host
    std::atomic<int> unasked_bytes = 0; ///< answers that nobody waited for
};

/// Clients that go on until they are stopped, some on each thread.
class soak_clients
{
public:
    /// @param[in] plain_limit_ms, stream_limit_ms  time limits of requests
    soak_clients(std::uint64_t seed, int clients, long long plain_limit_ms,
                 long long stream_limit_ms)
        : m_seed(seed),
          m_plain_limit_ms(plain_limit_ms),
          m_stream_limit_ms(stream_limit_ms)
    {
        constexpr int clients_of_thread = 100;
        for (int first = 0; first < clients; first += clients_of_thread)
            m_threads.emplace_back(
                [this, first,
                 last = std::min(clients, first + clients_of_thread)]
                {
                    run(first, last);
                });
    }

    ~soak_clients()
    {
        stop();
    }

    soak_clients(const soak_clients&) = delete;
    soak_clients& operator=(const soak_clients&) = delete;

    void set_offer(soak_offer offer)
    {
        const std::lock_guard lock(m_mutex);
        m_offer = std::move(offer);
    }

    /// Waits for the end of requests that have been sent.
    void stop()
    {
        m_stopping = true;
        for (auto& each : m_threads)
            if (each.joinable())
                each.join();
    }

    /// All requests, once the clients are stopped.
    const std::list<soak_request>& requests() const
    {
        return m_requests;
    }

    const std::list<soak_closing>& closings() const
    {
        return m_closings;
    }

    const soak_counts& counts() const
    {
        return m_counts;
    }

private:
    struct part
    {
        long long not_before = 0;
        std::string bytes;
    };

    struct client
    {
        std::mt19937_64 random;
        client_pace pace = client_pace::eager;
        long long next_at = 0;
        int instance = 0;
        std::unique_ptr<raw_connection> connection;
        long long opened_at = 0;
        long long open_until = 0;
        int answered = 0;    ///< on this connection
        std::string last_id; ///< of the request that was answered last
        long long last_answered_at = 0;
        bool close_announced = false;
        std::deque<part> parts;               ///< still to be sent
        std::deque<soak_request*> waiting;    ///< for answers
        std::deque<soak_request*> being_sent; ///< not whole yet
    };

    static int draw(client& each, int least, int most)
    {
        return std::uniform_int_distribution(least, most)(each.random);
    }

    void run(int first, int last)
    {
        std::vector<client> clients(static_cast<std::size_t>(last - first));
        for (int i = first; i < last; ++i)
        {
            constexpr std::uint64_t spread = 100003;
            constexpr int paces = 6;
            constexpr int start_ms = 500;
            auto& each = clients[static_cast<std::size_t>(i - first)];
            each.random.seed(m_seed * spread + static_cast<std::uint64_t>(i));
            each.pace = static_cast<client_pace>(i % paces);
            each.next_at = monotonic_ms() + draw(each, 0, start_ms);
        }
        std::vector<pollfd> entries;
        std::vector<client*> polled;
        for (bool busy = true; busy || !m_stopping;)
        {
            constexpr int pass_ms = 5;
            entries.clear();
            polled.clear();
            for (auto& each : clients)
                if (each.connection)
                {
                    entries.push_back(each.connection->poll_entry());
                    polled.push_back(&each);
                }
            const auto pass_begin = monotonic_ms();
            ::poll(entries.data(), entries.size(), pass_ms);
            for (std::size_t i = 0; i < polled.size(); ++i)
                if (entries[i].revents == 0)
                    polled[i]->open_until = pass_begin;
                else
                    proceed(*polled[i], entries[i].revents);
            busy = false;
            for (auto& each : clients)
            {
                step(each);
                busy = busy || !each.waiting.empty();
            }
        }
    }

    void proceed(client& each, short events)
    {
        const auto before = monotonic_ms();
        each.connection->proceed(events);
        if (!each.connection->ended())
            each.open_until = before;
        if (each.connection->failed())
        {
            ++m_counts.no_listener;
            leave(each, refused_wait(each));
            return;
        }
        note_sent(each);
        take_answers(each);
    }

    static int refused_wait(client& each)
    {
        constexpr int least = 50;
        constexpr int most = 300;
        return draw(each, least, most);
    }

    /// Notes which requests have been sent whole.
    static void note_sent(client& each)
    {
        if (!each.parts.empty() || !each.connection->sent())
            return;
        for (auto* const request : each.being_sent)
            request->sent_at = monotonic_ms();
        each.being_sent.clear();
    }

    void take_answers(client& each)
    {
        auto& connection = *each.connection;
        auto& input = connection.input();
        const auto now = monotonic_ms();
        int status = 0;
        while (!each.waiting.empty())
        {
            auto answer = read_answer(input, connection.closed());
            if (!answer)
                break;
            auto& request = *each.waiting.front();
            request.answer = std::move(answer);
            if (!request.answer->complete)
                break;
            input.erase(0, request.answer->size);
            request.answered_at = now;
            status = request.answer->status;
            each.close_announced =
                each.close_announced || request.answer->closes_connection();
            each.last_id = request.id;
            each.last_answered_at = now;
            each.waiting.pop_front();
            if (!each.waiting.empty())
                each.waiting.front()->due_from = now;
            ++each.answered;
        }
        if (each.waiting.empty() && !input.empty())
        {
            ++m_counts.unasked_bytes;
            input.clear();
        }
        constexpr int ok = 200;
        const int wait =
            status == 0 || status == ok ? pause_of(each) : refused_wait(each);
        if (connection.ended())
        {
            note_closing(each, now);
            if (each.waiting.empty() && !each.close_announced)
                ++m_counts.closed_idle;
            for (auto* const request : each.waiting)
            {
                request->ended_at = now;
                request->open_until = each.open_until;
                request->reset = !connection.closed();
            }
            leave(each, wait);
        }
        else if (status != 0 && each.waiting.empty())
        {
            each.next_at = now + wait;
            if (each.close_announced || each.pace == client_pace::fresh)
                leave(each, wait);
        }
    }

    void note_closing(const client& each, long long now)
    {
        constexpr long long slack_ms = 200; // bounds.lossSlackMs
        if (each.answered == 0 || each.close_announced ||
            now - each.last_answered_at > slack_ms)
            return;
        const std::lock_guard lock(m_mutex);
        m_closings.push_back(
            {each.instance, each.last_id, each.last_answered_at, now});
    }

    static int pause_of(client& each)
    {
        constexpr int short_pause = 250;
        constexpr int pause = 1000;
        constexpr int least_idle = 2000;
        constexpr int most_idle = 6000;
        switch (each.pace)
        {
        case client_pace::eager:
            return 0;
        case client_pace::pausing:
            return draw(each, 0, pause);
        case client_pace::idling:
            return draw(each, least_idle, most_idle);
        default:
            return draw(each, 0, short_pause);
        }
    }

    static void leave(client& each, int wait)
    {
        each.connection.reset();
        each.waiting.clear();
        each.being_sent.clear();
        each.parts.clear();
        each.close_announced = false;
        each.next_at = monotonic_ms() + wait;
    }

    void step(client& each)
    {
        const auto now = monotonic_ms();
        if (each.connection)
        {
            while (!each.parts.empty() &&
                   each.parts.front().not_before <= now &&
                   each.connection->connected())
            {
                const auto bytes = std::move(each.parts.front().bytes);
                each.parts.pop_front();
                each.connection->send(bytes);
                note_sent(each);
            }
            give_up(each, now);
        }
        if (each.waiting.empty() && !m_stopping && now >= each.next_at)
            begin(each);
    }

    void give_up(client& each, long long now)
    {
        constexpr long long connect_ms = 1000;
        constexpr long long patience_ms = 1000;
        if (!each.connection->connected())
        {
            if (now - each.opened_at > connect_ms)
            {
                ++m_counts.no_listener;
                leave(each, refused_wait(each));
            }
            return;
        }
        if (each.waiting.empty())
            return;
        const auto& first = *each.waiting.front();
        if (now - std::max(first.begun_at, first.due_from) <=
            first.limit_ms + patience_ms)
            return;
        for (auto* const request : each.waiting)
        {
            request->given_up = true;
            request->ended_at = now;
            request->open_until = each.open_until;
        }
        leave(each, 0);
    }

    /// Sends the next request or two, on the open connection if there is one.
    void begin(client& each)
    {
        soak_offer offer;
        {
            const std::lock_guard lock(m_mutex);
            offer = m_offer;
        }
        if (each.connection)
        {
            each.connection->read();
            if (each.connection->ended())
            {
                note_closing(each, monotonic_ms());
                ++m_counts.closed_idle;
                leave(each, 0);
            }
        }
        if (!each.connection)
        {
            if (offer.doors.empty())
            {
                each.next_at = monotonic_ms() + refused_wait(each);
                return;
            }
            const auto& door = offer.doors[static_cast<std::size_t>(
                draw(each, 0, static_cast<int>(offer.doors.size()) - 1))];
            each.instance = door.instance;
            each.opened_at = monotonic_ms();
            each.open_until = each.opened_at;
            each.answered = 0;
            each.connection = std::make_unique<raw_connection>(door.port);
        }
        const bool paired = each.pace == client_pace::paired;
        std::string bytes;
        for (int i = 0; i < (paired ? 2 : 1); ++i)
            bytes += add_request(each, offer, i == 1);
        const auto now = monotonic_ms();
        if (each.pace == client_pace::slow_body)
            split(each, bytes, now);
        else
            each.parts.push_back({now, bytes});
        step(each);
    }

    /// Cuts a request into parts; at least the last byte waits.
    static void split(client& each, const std::string& bytes, long long now)
    {
        constexpr int most_parts = 3;
        constexpr int most_gap = 300;
        constexpr std::size_t body_part = 6;
        const auto parts = static_cast<std::size_t>(draw(each, 1, most_parts));
        const auto head = bytes.size() - parts * body_part;
        each.parts.push_back({now, bytes.substr(0, head)});
        for (std::size_t i = 0; i < parts; ++i)
        {
            now += draw(each, 1, most_gap);
            each.parts.push_back(
                {now, bytes.substr(head + i * body_part, body_part)});
        }
    }

    std::string add_request(client& each, const soak_offer& offer,
                            bool second_of_pair)
    {
        constexpr std::size_t id_size = 17;
        std::array<char, id_size> id{};
        std::snprintf(id.data(), id.size(), "%08x%08x",
                      static_cast<unsigned>(m_seed),
                      static_cast<unsigned>(++m_next_id));
        const auto& prefix = offer.prefixes[static_cast<std::size_t>(
            draw(each, 0, static_cast<int>(offer.prefixes.size()) - 1))];
        const auto& key = offer.keys[static_cast<std::size_t>(
            draw(each, 0, static_cast<int>(offer.keys.size()) - 1))];
        soak_request request;
        request.id = id.data();
        request.path = prefix + request.id;
        request.body = "the body of " + request.id;
        request.instance = each.instance;
        request.pace = each.pace;
        request.on_kept_connection = each.answered != 0;
        request.second_of_pair = second_of_pair;
        request.limit_ms = prefix.starts_with("/stream/") ? m_stream_limit_ms
                                                          : m_plain_limit_ms;
        request.begun_at = monotonic_ms();
        const auto bytes =
            "POST " + request.path +
            " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + request.id +
            "\r\nAuthorization: Token " + key +
            "\r\nContent-Type: text/plain\r\nContent-Length: " +
            std::to_string(request.body.size()) +
            "\r\nDeadline-Ms: " + std::to_string(request.limit_ms) +
            "\r\n\r\n" + request.body;
        const std::lock_guard lock(m_mutex);
        auto& added = m_requests.emplace_back(std::move(request));
        if (second_of_pair)
            added.before = each.waiting.back();
        each.waiting.push_back(&added);
        each.being_sent.push_back(&added);
        return bytes;
    }

    std::uint64_t m_seed;
    long long m_plain_limit_ms;
    long long m_stream_limit_ms;
    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_next_id = 0;
    std::mutex m_mutex;
    soak_offer m_offer;
    std::list<soak_request> m_requests;
    std::list<soak_closing> m_closings;
    soak_counts m_counts;
    std::vector<std::thread> m_threads;
};

} // namespace harness
