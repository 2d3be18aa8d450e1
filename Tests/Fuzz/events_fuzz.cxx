#include <algorithm>
#include <string>

#include "Fuzz/fuzz_input.h"
#include "Gateway/event_stream.h"

/// Event streams of endpoints: the result must not depend on how the bytes are split into reads,
/// and only received bytes are forwarded.
namespace chestnuthead {

namespace {

struct outcome {
  gateway::event_splitter splitter;
  std::string forwarded;
};

outcome split_in_pieces(std::string_view bytes, std::size_t piece_size) {
  outcome result;
  for (std::size_t begin = 0; begin < bytes.size() && result.splitter.sound; begin += piece_size) {
    split_events(result.splitter, bytes.substr(begin, piece_size), result.forwarded);
  }
  return result;
}

}  // namespace

void fuzz(std::string_view input) {
  const selected_input selected = split_selector(input);
  const outcome unsplit =
      split_in_pieces(selected.rest, std::max<std::size_t>(1, selected.rest.size()));
  const outcome split = split_in_pieces(selected.rest, 1 + selected.selector % 16);
  require(unsplit.splitter.sound == split.splitter.sound,
          "a fault does not depend on how the bytes are split");
  if (unsplit.splitter.sound) {
    require(unsplit.forwarded == split.forwarded,
            "events do not depend on how the bytes are split");
    require(unsplit.splitter.partial == split.splitter.partial,
            "the incomplete event does not depend on how the bytes are split");
  }
  require(unsplit.forwarded.size() + unsplit.splitter.partial.size() <= selected.rest.size(),
          "only received bytes are forwarded");
}

}  // namespace chestnuthead
