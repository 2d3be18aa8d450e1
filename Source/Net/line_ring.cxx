#include "Net/line_ring.h"

#include <poll.h>
#include <unistd.h>

namespace chestnuthead {

void line_ring::add(std::string_view line) {
  if (this->kept_bytes + line.size() + 1 > this->capacity_bytes) {
    ++this->dropped_lines;
    return;
  }
  this->kept_bytes += line.size() + 1;
  this->lines.emplace_back(line);
  this->lines.back().push_back('\n');
}

void line_ring::flush(std::size_t piece_bytes, const std::function<bool(std::string_view)>& write) {
  while (!this->lines.empty()) {
    std::string piece = this->lines.front();
    std::size_t count = 1;
    while (count < this->lines.size() && piece.size() + this->lines[count].size() <= piece_bytes) {
      piece += this->lines[count];
      ++count;
    }
    if (!write(piece)) {
      return;
    }
    this->kept_bytes -= piece.size();
    this->lines.erase(this->lines.begin(),
                      this->lines.begin() + static_cast<std::ptrdiff_t>(count));
  }
}

bool write_without_blocking(int descriptor, std::string_view piece) {
  pollfd wanted{descriptor, POLLOUT, 0};
  if (::poll(&wanted, 1, 0) != 1 || (wanted.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(descriptor, piece.data(), piece.size()) > 0;
}

}  // namespace chestnuthead
