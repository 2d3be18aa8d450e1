#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "chestnuthead/peer_transport.h"
#include "chestnuthead/router_core.h"

#include "Net/mailbox.h"

namespace chestnuthead {

/// An attempt of the request has been sent; its frames count from now on.
struct attempt_begun {
  attempt_id attempt;
  node_id agent;
  /// Set if the call is at-most-once.
  idempotency_key key;
};

/// What the traffic thread of a request is told.
using exchange_message =
    std::variant<attempt_begun, attempt_frame, answer_error, finish_answer, cut_answer>;

/// One request of a caller: what came in, and the mailbox of its traffic thread.
struct exchange {
  request_arrived arrival;
  std::string content_type;
  std::shared_ptr<const std::string> body;
  /// Key that the router made because the caller gave none.
  idempotency_key generated_key;
  mailbox<exchange_message> messages;
};

/// The requests of this router that are in progress. May be used from any
/// thread.
class exchange_table {
 public:
  /// False if a request of that id is in progress.
  bool add(const std::shared_ptr<exchange>& entry);
  void remove(const request_id& request);
  [[nodiscard]] std::shared_ptr<exchange> find(const request_id& request) const;
  [[nodiscard]] bool empty() const;

 private:
  mutable std::mutex lock;
  std::map<request_id, std::shared_ptr<exchange>> entries;
};

}  // namespace chestnuthead
