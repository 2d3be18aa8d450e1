#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Base/table_call.h"

/// The router's side of at-most-once execution: before a caller is sent "not
/// run" while an attempt is unresolved, the key is sealed against the request.
namespace chestnuthead {

/// How long a router waits for the table before it answers "unknown".
inline constexpr std::chrono::milliseconds seal_timeout{500};

/// Outcome of sealing the key against a request that the router gives up.
enum class seal_outcome : std::uint8_t {
  /// Sealed: no attempt of this request has run or ever will.
  not_run,
  /// An attempt of this request ran; its answer is in `stored_answer`.
  ran,
  /// The key was claimed, by this request or another, and has no result.
  unknown,
};

struct seal_decision {
  request_id request;
  seal_outcome outcome = seal_outcome::unknown;
  std::string stored_answer;
};

struct sealer_output {
  std::vector<table_call> table_calls;
  std::vector<seal_decision> decisions;
};

struct sealer;

struct sealer_deleter {
  void operator()(sealer* key_sealer) const;
};

using sealer_ptr = std::unique_ptr<sealer, sealer_deleter>;

sealer_ptr make_sealer();

/// Seals `key` against `request`. Ends in exactly one decision, at the latest
/// after `seal_timeout`.
sealer_output seal(sealer& key_sealer, const request_id& request, const idempotency_key& key,
                   const pool_id& pool, steady_time now);

sealer_output apply_seal_reply(sealer& key_sealer, std::uint64_t ticket, const table_reply& reply,
                               steady_time now);

sealer_output sealer_tick(sealer& key_sealer, steady_time now);

}  // namespace chestnuthead
