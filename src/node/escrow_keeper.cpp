#include "escrow_keeper.hpp"

#include <algorithm> // max, min
#include <chrono>    // duration
#include <string>    // string
#include <utility>   // move

#include <boost/asio/as_tuple.hpp>      // as_tuple
#include <boost/asio/use_awaitable.hpp> // use_awaitable
#include <spdlog/spdlog.h>              // error, info, warn

#include <platform/store_calls.hpp> // decode_object, object_target

#include "../store/store_client.hpp" // store_client
#include "witness_keeper.hpp"        // witness_keeper

namespace rhubarbgrade
{

namespace asio = boost::asio;
using boost::beast::http::verb;

namespace
{

constexpr const char* book_kind = "escrow";
constexpr const char* book_name = "main";

/// Time-out of a call: many times the store's usual answer of 4 ms, and short
/// beside the use that a holding covers (3 s and more).
constexpr milliseconds call_timeout{800};

/// Longest pause between two looks at what is needed. Each write is paid for,
/// so draws are sized for seconds.
constexpr milliseconds look_pause{400};

/// Calls failed in turn after which requests no longer wait for a draw.
constexpr int failures_to_wait = 2;

/// Pause after a failed call.
constexpr milliseconds failure_pause{150};

/// Age at which the book is read again, by a cheap call that may be answered
/// from an older state: what is left of each budget sizes the holdings.
constexpr milliseconds book_age{2000};

/// Shortest span over which the use of all hosts is measured, and the weight
/// of a new measurement; hosts report their use every few seconds.
constexpr std::chrono::duration<double> rate_span{2.0};
constexpr double rate_weight = 0.4;

token_count_t value_of(const token_map_t& tokens, std::string_view customer)
{
    const auto found = tokens.find(customer);
    return found == tokens.end() ? 0 : found->second;
}

} // namespace

escrow_keeper::escrow_keeper(const asio::any_io_executor& executor,
                             store_client& store, witness_keeper& witnesses,
                             node_identity identity, escrow_listener listener)
    : m_store(store),
      m_witnesses(witnesses),
      m_identity(std::move(identity)),
      m_listener(std::move(listener)),
      m_wake(executor)
{
}

void escrow_keeper::set_budgets(token_map_t budgets)
{
    m_budgets = std::move(budgets);
    if (adopted())
        tell();
    m_wake.cancel();
}

void escrow_keeper::note_states(wallet_states_t states)
{
    bool urgent = false;
    for (const auto& [customer, state] : states)
        urgent = urgent || state.waiting != 0;
    m_states = std::move(states);
    m_witnesses.propose(m_states);
    if (urgent && !m_failing)
        m_wake.cancel();
}

void escrow_keeper::note_lowered(const token_map_t& holdings)
{
    for (const auto& [customer, tokens] : holdings)
    {
        // The traffic thread may hold less than it was asked to keep, since a
        // witness limits it; that is no reason to give back more.
        const auto kept = std::max(value_of(m_lowering, customer), tokens);
        m_usable[customer] = std::min(value_of(m_usable, customer), kept);
        m_lowering.erase(customer);
    }
    if (!m_failing)
        m_wake.cancel();
}

void escrow_keeper::note_confirmed()
{
    if (adopted())
        tell();
}

bool escrow_keeper::adopted() const
{
    const auto mine = m_book.hosts.find(m_identity.process.host);
    return mine != m_book.hosts.end() &&
           mine->second.incarnation == m_identity.process.incarnation;
}

void escrow_keeper::tell()
{
    budget_news_t news;
    for (const auto& [customer, prepaid] : m_budgets)
    {
        const auto left = undrawn(m_book, customer, prepaid);
        // The traffic thread may have lowered this one already; the older,
        // higher holding must not reach it again.
        if (m_lowering.contains(customer))
            continue;
        const auto usable = value_of(m_usable, customer);
        const auto limit = limit_of(customer);
        news[customer] = {std::min(usable, limit),
                          left,
                          known_used(m_book, customer),
                          prepaid,
                          m_failures < failures_to_wait,
                          limit < usable && !m_witnesses.silent(registered()),
                          m_round};
    }
    m_listener.news(std::move(news));
}

void escrow_keeper::confirm()
{
    if (!adopted())
    {
        // Another process of this host has the holding: this one is replaced.
        m_usable.clear();
        return;
    }
    const auto& drawn = m_book.hosts[m_identity.process.host].drawn;
    if (m_pending && m_pending->revision != m_revision)
        m_pending.reset();
    for (const auto& [customer, tokens] : drawn)
    {
        auto sure = tokens;
        if (m_pending)
            sure = std::min(sure, value_of(m_pending->drawn, customer));
        // A holding that is being given back isn't raised by an older book.
        if (!m_lowering.contains(customer))
            m_usable[customer] = sure;
        else
            m_usable[customer] = std::min(sure, value_of(m_usable, customer));
    }
}

void escrow_keeper::take_over(const std::string& body)
{
    const auto object = platform::decode_object(body);
    if (!object)
    {
        spdlog::error("{}", object.error().message());
        m_stale = true;
        return;
    }
    if (object->revision < m_revision)
        return;
    auto book = decode_book(object->spec);
    if (!book)
    {
        spdlog::error("{}", book.error().message());
        m_stale = true;
        return;
    }
    m_book = std::move(*book);
    m_revision = object->revision;
    m_stale = false;
    m_read_at = time_point_t::clock::now();
    m_policy.hosts = m_book.hosts.size();
    m_listener.seen(m_book);
    note_rates();
    confirm();
    tell();
}

asio::awaitable<void> escrow_keeper::create()
{
    auto body = platform::spec_body(book_name, std::nullopt,
                                    encode_book(escrow_book()));
    co_await m_store.call(call_purpose::budget, verb::post,
                          platform::list_target(book_kind, ""), std::move(body),
                          call_timeout);
}

asio::awaitable<void> escrow_keeper::refresh(bool stale_allowed)
{
    const auto answer = co_await m_store.call(
        call_purpose::budget, verb::get,
        platform::object_target(book_kind, book_name, stale_allowed), {},
        call_timeout);
    m_read_at = time_point_t::clock::now();
    note_call(answer.is(200) || answer.is(404));
    if (answer.is(200))
        take_over(answer.body);
    else if (answer.is(404) && !stale_allowed)
        co_await create();
    else
        spdlog::warn("escrow not read: status {}", answer.status);
}

void escrow_keeper::note_rates()
{
    const auto now = time_point_t::clock::now();
    for (const auto& [customer, prepaid] : m_budgets)
    {
        auto& fleet = m_fleet[customer];
        const auto used = known_used(m_book, customer);
        const std::chrono::duration<double> passed = now - fleet.at;
        if (passed < rate_span)
            continue;
        if (fleet.at != time_point_t{} && used >= fleet.used)
            fleet.rate +=
                rate_weight *
                (static_cast<double>(used - fleet.used) / passed.count() -
                 fleet.rate);
        fleet.used = used;
        fleet.at = now;
    }
}

asio::awaitable<escrow_keeper::write_end>
escrow_keeper::write(escrow_book wanted)
{
    const auto revision = m_revision;
    const auto& mine = wanted.hosts[m_identity.process.host];
    m_pending = pending_write{revision, mine.drawn, mine.witness};
    auto body = platform::spec_body(book_name, revision, encode_book(wanted));
    const auto answer =
        co_await m_store.call(call_purpose::budget, verb::put,
                              platform::object_target(book_kind, book_name),
                              std::move(body), call_timeout);
    note_call(answer.is(200) || answer.is(409));
    if (answer.is(200) || answer.is(409))
    {
        m_pending.reset();
        take_over(answer.body);
        co_return answer.is(200) ? write_end::done : write_end::lost_race;
    }
    spdlog::warn("draw not confirmed: status {} {}", answer.status,
                 answer.body);
    // 429 and 503 say that nothing was done.
    if (answer.is(429) || answer.is(503) || answer.end == call_end::not_sent)
        m_pending.reset();
    else
        m_stale = true;
    co_return write_end::failed;
}

void escrow_keeper::ask_to_lower(const token_map_t& targets)
{
    token_map_t asked;
    for (const auto& [customer, tokens] : targets)
        if (m_lowering.emplace(customer, tokens).second)
            asked[customer] = tokens;
    if (!asked.empty())
        m_listener.lower(std::move(asked));
}

wallet_states_t escrow_keeper::states() const
{
    auto states = m_states;
    for (const auto& [customer, fleet] : m_fleet)
        states[customer].fleet_rate = fleet.rate;
    return states;
}

bool escrow_keeper::give_back(escrow_book& wanted)
{
    if (m_pending)
        return false;
    bool any = false;
    for (auto& [customer, drawn] : wanted.hosts[m_identity.process.host].drawn)
    {
        const auto usable = value_of(m_usable, customer);
        if (usable >= drawn || m_lowering.contains(customer))
            continue;
        drawn = usable;
        any = true;
    }
    return any;
}

std::optional<escrow_book> escrow_keeper::plan()
{
    auto wanted = m_book;
    const auto now = states();
    const auto draw = [&](double part, token_map_t& back)
    {
        return draw_tokens(wanted, m_identity.process.host, m_budgets, now,
                           m_policy, part, m_lowering, back);
    };
    token_map_t back;
    bool changed =
        adopt(wanted, m_identity.process, m_identity.address, m_identity.zone);
    if (changed)
        m_adopted_at = time_point_t::clock::now();
    changed = close_ended(wanted, m_identity.process, m_witnesses.memory()) ||
              changed;
    changed = give_back(wanted) || changed;
    if (candidate_ready())
    {
        spdlog::info("witness: {} instead of {}", m_candidate.host,
                     registered().host);
        wanted.hosts[m_identity.process.host].witness = m_candidate;
        changed = true;
    }
    changed = draw(m_policy.low_part, back) || changed;
    if (!changed)
    {
        ask_to_lower(back);
        return std::nullopt;
    }
    // The call is paid for: others that will soon be low come along.
    draw(m_policy.refill_part, back);
    auto& mine = wanted.hosts[m_identity.process.host];
    for (const auto& [customer, state] : now)
        mine.used[customer] = state.used;
    return wanted;
}

asio::awaitable<milliseconds> escrow_keeper::step()
{
    if (m_stale || m_revision == 0)
        co_await refresh(false);
    else if (time_point_t::clock::now() - m_read_at > book_age)
        co_await refresh(true);
    if (m_stale || m_revision == 0 || m_budgets.empty())
        co_return failure_pause;
    look_after_witness();
    auto wanted = plan();
    if (!wanted)
        co_return look_pause;
    switch (co_await write(std::move(*wanted)))
    {
    case write_end::done:
        co_return look_pause;
    case write_end::lost_race:
        co_return milliseconds(0);
    case write_end::failed:
        break;
    }
    co_return failure_pause;
}

void escrow_keeper::note_call(bool answered)
{
    const bool could_draw = m_failures < failures_to_wait;
    m_failures = answered ? 0 : m_failures + 1;
    if (could_draw != (m_failures < failures_to_wait) && adopted())
        tell();
}

asio::awaitable<void> escrow_keeper::run()
{
    m_running = true;
    while (!m_closing)
    {
        const auto pause = co_await step();
        m_failing = pause == failure_pause;
        if (pause == milliseconds(0))
            continue;
        m_wake.expires_after(pause);
        co_await m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_running = false;
}

asio::awaitable<void> escrow_keeper::close(wallet_states_t last)
{
    m_closing = true;
    m_wake.cancel();
    asio::steady_timer poll(m_wake.get_executor());
    while (m_running)
    {
        poll.expires_after(milliseconds(5));
        co_await poll.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    constexpr int tries = 5;
    for (int i = 0; i < tries && adopted(); ++i)
    {
        if (m_stale)
            co_await refresh(false);
        auto wanted = m_book;
        auto& mine = wanted.hosts[m_identity.process.host];
        for (const auto& [customer, state] : last)
        {
            mine.used[customer] = state.used;
            mine.drawn[customer] = std::min(value_of(mine.drawn, customer),
                                            state.used + state.reserved);
        }
        if (co_await write(std::move(wanted)) == write_end::done)
            co_return;
    }
    spdlog::warn("unused tokens of {} stay drawn: the store took no write",
                 m_identity.process.host);
}

} // namespace rhubarbgrade
