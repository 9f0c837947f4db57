#include <rhubarbgrade/detail/base/error.hpp>

#include <string> // string, to_string

namespace rhubarbgrade
{
namespace
{

const char* meaning(errc code)
{
    switch (code)
    {
    case errc::syntax:
        return "syntax error";
    case errc::unknown_key:
        return "unknown key";
    case errc::wrong_type:
        return "wrong type";
    case errc::out_of_range:
        return "value out of range";
    case errc::missing_key:
        return "missing key";
    case errc::duplicate_name:
        return "duplicate name";
    case errc::unknown_reference:
        return "unknown reference";
    case errc::clash:
        return "contradiction";
    case errc::unreadable:
        return "can't be read";
    case errc::budget_exhausted:
        return "budget exhausted";
    case errc::tokens_unreachable:
        return "remaining tokens are out of reach";
    case errc::ledger_closed:
        return "ledger closed";
    case errc::second_unreachable:
        return "second host unreachable";
    case errc::not_registered:
        return "no registered ledger";
    case errc::bad_operation:
        return "operation does not apply";
    case errc::bad_request:
        return "bad request";
    case errc::unauthorized:
        return "missing or unknown key";
    case errc::not_found:
        return "no such model or route";
    case errc::overloaded:
        return "overloaded";
    case errc::key_in_use:
        return "idempotency key in use, outcome unknown";
    case errc::key_expired:
        return "idempotency key expired";
    case errc::claim_unavailable:
        return "idempotency key can't be claimed now";
    case errc::quarantined:
        return "request quarantined";
    case errc::too_large:
        return "body too large";
    case errc::connect_failed:
        return "connection failed";
    case errc::endpoint_failed:
        return "endpoint failed";
    case errc::outcome_unknown:
        return "outcome unknown";
    case errc::no_endpoint:
        return "no usable endpoint";
    case errc::stream_broken:
        return "stream broken";
    case errc::platform_unreachable:
        return "platform unreachable";
    case errc::conflict:
        return "conditional update lost its race";
    case errc::absent:
        return "no such object";
    case errc::malformed:
        return "malformed value";
    case errc::peer_unreachable:
        return "peer unreachable";
    case errc::refused_by_peer:
        return "refused by peer";
    }
    return "unknown error";
}

class category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "rhubarbgrade";
    }

    std::string message(int code) const override
    {
        return meaning(static_cast<errc>(code));
    }
};

} // namespace

const std::error_category& rhubarbgrade_category() noexcept
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), rhubarbgrade_category()};
}

std::string error::message() const
{
    std::string text = "[";
    text += code.category().name();
    text += '.';
    text += std::to_string(code.value());
    text += "] " + code.message();
    if (!step.empty())
        text += ", step " + step;
    if (!peer.empty())
        text += ", peer " + peer;
    if (!detail.empty())
        text += ": " + detail;
    return text;
}

} // namespace rhubarbgrade
