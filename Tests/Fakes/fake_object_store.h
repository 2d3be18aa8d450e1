#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "chestnuthead/object_store.h"

namespace chestnuthead {

/// An in-memory object store that calls back before its methods return.
class fake_object_store : public object_store {
 public:
  void put(std::string key, std::string value, std::function<void(object_reply)> done) override {
    if (this->down) {
      done(object_failure::unavailable);
      return;
    }
    this->objects[key] = std::move(value);
    done(std::move(key));
  }

  void get(std::string key, std::function<void(object_reply)> done) override {
    const auto found = this->objects.find(key);
    if (this->down || found == this->objects.end()) {
      done(this->down ? object_failure::unavailable : object_failure::absent);
      return;
    }
    done(found->second);
  }

  std::map<std::string, std::string> objects;
  bool down = false;
};

}  // namespace chestnuthead
