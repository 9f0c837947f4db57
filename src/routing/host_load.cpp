#include <rhubarbgrade/detail/routing/host_load.hpp>

namespace rhubarbgrade
{

namespace
{

/// Delay of the event loop from which the host is late.
constexpr milliseconds late_loop{100};

/// Time to open a connection from which the host is late. It usually takes a
/// few round trips of 3 ms each.
constexpr milliseconds late_connect{250};

/// Share of the link's bandwidth from which it is full.
constexpr double full_link = 0.85;

/// Time without a late sample after which the host is no longer late.
constexpr milliseconds calm_time{1000};

/// Evidence times of a host that is in time, and of one that may be late: the
/// first retransmission of a lost packet comes after a second.
constexpr milliseconds usual_evidence_time{400};
constexpr milliseconds late_evidence_time{1500};

/// Time without a byte from which nothing comes from a service.
constexpr milliseconds max_silence{400};

bool is_late(const host_sample& sample)
{
    return sample.loop_delay >= late_loop ||
           sample.connect_time >= late_connect ||
           sample.link_share >= full_link;
}

} // namespace

bool record_sample(host_load& load, const host_sample& sample, time_point_t now)
{
    const bool was_late = load.late;
    if (is_late(sample))
    {
        load.late = true;
        load.last_late_at = now;
    }
    else if (now - load.last_late_at >= calm_time)
        load.late = false;
    return load.late != was_late;
}

milliseconds connect_evidence_time(const host_load& load, milliseconds silence)
{
    return load.late || silence < max_silence ? late_evidence_time
                                              : usual_evidence_time;
}

} // namespace rhubarbgrade
