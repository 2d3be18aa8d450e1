#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <msgpack.hpp>

#include "chestnuthead/ids.h"

/// Writes and reads msgpack arrays field by field. For codecs only: the reader
/// throws `msgpack::type_error`, which the codec converts into a `codec_fault`.
namespace chestnuthead {

/// Packs fields into a buffer.
class field_writer {
 public:
  field_writer() : packer(this->buffer) {}

  void array(std::size_t fields) {
    this->packer.pack_array(static_cast<std::uint32_t>(fields));
  }
  template <class Value>
  void put(const Value& value) {
    if constexpr (std::is_enum_v<Value>) {
      this->packer.pack(static_cast<std::uint8_t>(value));
    } else {
      this->packer.pack(value);
    }
  }
  template <class Tag>
  void put(const id<Tag>& name) {
    this->packer.pack(name.value);
  }
  void put(std::chrono::milliseconds time) {
    this->packer.pack(static_cast<std::int64_t>(time.count()));
  }
  /// Binary data (msgpack bin), which need not be valid UTF-8.
  void put_bytes(std::string_view bytes) {
    this->packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    this->packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
  }

  [[nodiscard]] std::string text() const {
    return {this->buffer.data(), this->buffer.size()};
  }

 private:
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer;
};

/// Reads the fields of one array in order.
class field_reader {
 public:
  explicit field_reader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    this->next = object.via.array.ptr;
    this->left = object.via.array.size;
  }

  const msgpack::object& object() {
    if (this->left == 0) {
      throw msgpack::type_error();
    }
    --this->left;
    return *this->next++;
  }
  template <class Value>
  void get(Value& value) {
    this->object().convert(value);
  }
  template <class Tag>
  void get(id<Tag>& name) {
    this->object().convert(name.value);
  }
  void get(std::chrono::milliseconds& time) {
    // Bounded so that sums with this duration cannot overflow.
    constexpr std::int64_t longest = std::int64_t{1} << 50;
    const auto count = this->object().as<std::int64_t>();
    if (count < -longest || count > longest) {
      throw msgpack::type_error();
    }
    time = std::chrono::milliseconds(count);
  }
  /// Binary data (msgpack bin), which need not be valid UTF-8.
  void get_bytes(std::string& bytes) {
    const msgpack::object& field = this->object();
    if (field.type != msgpack::type::BIN) {
      throw msgpack::type_error();
    }
    bytes.assign(field.via.bin.ptr, field.via.bin.size);
  }
  /// Reads an enumeration whose last value is `last`; throws for a number above
  /// it.
  template <class Enumeration>
  void get(Enumeration& value, Enumeration last) {
    const auto number = this->object().as<std::uint8_t>();
    if (number > static_cast<std::uint8_t>(last)) {
      throw msgpack::type_error();
    }
    value = static_cast<Enumeration>(number);
  }
  /// Reads the next field as a nested array.
  field_reader array() {
    return field_reader(this->object());
  }
  [[nodiscard]] bool at_end() const {
    return this->left == 0;
  }

 private:
  const msgpack::object* next = nullptr;
  std::size_t left = 0;
};

/// Reads entries of two fields each from one flat list.
template <class Entry, class First, class Second>
void read_pairs(const msgpack::object& list, std::vector<Entry>& entries, First Entry::*first,
                Second Entry::*second) {
  for (field_reader fields(list); !fields.at_end();) {
    Entry entry;
    fields.get(entry.*first);
    fields.get(entry.*second);
    entries.push_back(entry);
  }
}

/// Writes entries in the form that `read_pairs` reads.
template <class Entry, class First, class Second>
void write_pairs(field_writer& out, const std::vector<Entry>& entries, First Entry::*first,
                 Second Entry::*second) {
  out.array(entries.size() * 2);
  for (const Entry& entry : entries) {
    out.put(entry.*first);
    out.put(entry.*second);
  }
}

}  // namespace chestnuthead
