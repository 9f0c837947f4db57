#include <rhubarbgrade/detail/routing/answer_status.hpp>

namespace rhubarbgrade
{

namespace
{

constexpr unsigned switching_protocols = 101;
constexpr unsigned first_interim = 100;
constexpr unsigned first_final = 200;
constexpr unsigned last_final = 599;

} // namespace

status_kind kind_of_status(unsigned status, bool framed)
{
    if (status >= first_final && status <= last_final)
        return status_kind::final;
    const bool interim = status >= first_interim && status < first_final &&
                         status != switching_protocols && !framed;
    return interim ? status_kind::interim : status_kind::invalid;
}

} // namespace rhubarbgrade
