#include <string>

#include "Fuzz/fuzz_input.h"
#include "Gateway/peer_message.h"
#include "Traffic/peer_codec.h"

/// Messages of other gateways: what can be read can be taken in, and is written
/// as the same message again.
namespace chestnuthead {

void fuzz(std::string_view input) {
  const auto word = traffic::decode_peer_message(input);
  if (!word) {
    return;
  }
  const std::string bytes = traffic::encode_peer_message(*word);
  const auto again = traffic::decode_peer_message(bytes);
  require(again.has_value(), "an encoded message can be read");
  require(traffic::encode_peer_message(*again) == bytes, "a message survives a round trip");
  gateway::gateway_state state;
  apply_peer_message(state, *word, steady_time{});
  require(!apply_peer_message(state, *word, steady_time{}), "a message is taken in once");
  apply_peer_loads(state.peers, state.endpoints, steady_time{});
}

}  // namespace chestnuthead
