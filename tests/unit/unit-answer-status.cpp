// Which statuses are an answer's.

#include <catch2/catch.hpp>

#include <rhubarbgrade/detail/routing/answer_status.hpp>

using namespace rhubarbgrade;

TEST_CASE("only a status from 200 to 599 is an answer's")
{
    for (unsigned status = 0; status <= 999; ++status)
        for (const bool framed : {false, true})
        {
            INFO(status);
            CHECK((kind_of_status(status, framed) == status_kind::final) ==
                  (status >= 200 && status <= 599));
        }
}

TEST_CASE("an interim head has no body and switches no protocol")
{
    for (unsigned status = 0; status <= 999; ++status)
    {
        INFO(status);
        CHECK((kind_of_status(status, false) == status_kind::interim) ==
              (status >= 100 && status <= 199 && status != 101));
        CHECK(kind_of_status(status, true) != status_kind::interim);
    }
}
