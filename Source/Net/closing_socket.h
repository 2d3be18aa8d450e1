#pragma once

#include <atomic>

#include <Poco/Net/StreamSocketImpl.h>

namespace chestnuthead {

/// A socket that notes whether its peer closed it while a reader still wanted
/// bytes. Poco's HTTP streams end in the same way for a whole and for a cut
/// answer; a whole one with a length or in chunks never reads that far.
class closing_socket : public Poco::Net::StreamSocketImpl {
 public:
  int receiveBytes(void* buffer, int length, int flags) override {
    const int size = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (size == 0) {
      this->end_seen = true;
    }
    return size;
  }

  [[nodiscard]] bool ended_early() const {
    return this->end_seen;
  }

 private:
  std::atomic<bool> end_seen{false};
};

}  // namespace chestnuthead
