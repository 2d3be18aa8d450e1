#include <string>

#include "Fuzz/fuzz_input.h"
#include "Gateway/peer_message.h"
#include "Traffic/peer_codec.h"

/// Messages of other gateways: a message that can be decoded can be applied, and is encoded to the
/// same message again.
namespace chestnuthead {

void fuzz(std::string_view input) {
  const auto message = traffic::decode_peer_message(input);
  if (!message) {
    return;
  }
  const std::string bytes = traffic::encode_peer_message(*message);
  const auto again = traffic::decode_peer_message(bytes);
  require(again.has_value(), "an encoded message can be decoded");
  require(traffic::encode_peer_message(*again) == bytes, "a round trip does not change a message");
  gateway::gateway_state state;
  apply_peer_message(state, *message, steady_time{});
  require(!apply_peer_message(state, *message, steady_time{}), "a message is applied only once");
  apply_peer_loads(state.peers, state.endpoints, steady_time{});
}

}  // namespace chestnuthead
