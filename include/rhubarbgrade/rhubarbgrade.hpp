#pragma once

/// @file
/// @brief Umbrella header of the rhubarbgrade library.

#include <rhubarbgrade/detail/base/errc.hpp>             // errc
#include <rhubarbgrade/detail/base/error.hpp>            // error, result
#include <rhubarbgrade/detail/base/hash.hpp>             // sha256_hex
#include <rhubarbgrade/detail/base/types.hpp>            // ledger_id
#include <rhubarbgrade/detail/budget/draw.hpp>           // draw_amount
#include <rhubarbgrade/detail/budget/ledger.hpp>         // ledger
#include <rhubarbgrade/detail/budget/operation.hpp>      // operation
#include <rhubarbgrade/detail/budget/pace.hpp>           // pace_of
#include <rhubarbgrade/detail/budget/shard.hpp>          // budget_shard
#include <rhubarbgrade/detail/config/check.hpp>          // check
#include <rhubarbgrade/detail/config/load.hpp>           // load_files
#include <rhubarbgrade/detail/config/manifest.hpp>       // manifest
#include <rhubarbgrade/detail/config/objects.hpp>        // object_set
#include <rhubarbgrade/detail/config/problem.hpp>        // problems_t
#include <rhubarbgrade/detail/config/settings.hpp>       // settings
#include <rhubarbgrade/detail/control/router.hpp>        // router
#include <rhubarbgrade/detail/membership/members.hpp>    // members_t
#include <rhubarbgrade/detail/moves/evidence.hpp>        // move_evidence_t
#include <rhubarbgrade/detail/moves/judge.hpp>           // judge
#include <rhubarbgrade/detail/moves/ramp.hpp>            // advance
#include <rhubarbgrade/detail/operators/commands.hpp>    // run_command
#include <rhubarbgrade/detail/platform/bill_batch.hpp>   // bill_batch
#include <rhubarbgrade/detail/platform/ledger_table.hpp> // ledger_table
#include <rhubarbgrade/detail/platform/object_api.hpp>   // object_api
#include <rhubarbgrade/detail/routing/choose.hpp>        // choose
#include <rhubarbgrade/detail/routing/ejection.hpp>      // endpoint_health
#include <rhubarbgrade/detail/routing/estimate.hpp>      // refuse_early
#include <rhubarbgrade/detail/routing/quarantine.hpp>    // quarantine
#include <rhubarbgrade/detail/routing/retry.hpp>         // retry_budget
#include <rhubarbgrade/detail/routing/slots.hpp>         // assigned_slots
