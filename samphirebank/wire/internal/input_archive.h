// File: input_archive.h
//
// The cereal archive that reads what cereal::PortableBinaryOutputArchive
// wrote. Unlike cereal's own it refuses a stated length that exceeds the bytes
// that are left, before memory is taken for it, and a bool that is neither 0
// nor 1.
//
// Example:
//
//   InputArchive archive(bytes);
//   archive(value);  // throws cereal::Exception
//   if (archive.left() != 0) { ... }
#ifndef SAMPHIREBANK_WIRE_INTERNAL_INPUT_ARCHIVE_H_
#define SAMPHIREBANK_WIRE_INTERNAL_INPUT_ARCHIVE_H_

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <type_traits>

namespace samphirebank::wire::internal {

// InputArchive reads from bytes that outlive it.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit InputArchive(std::string_view input)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        bytes(input) {
    uint8_t little = 0;
    this->Read(&little, 1, 1);
    if (little > 1) throw cereal::Exception("the byte order is malformed");
    this->swaps =
        (little == 1) != cereal::portable_binary_detail::is_little_endian();
  }

  // Read copies `size` bytes that hold elements of `element` bytes each.
  void Read(void* data, size_t size, size_t element) {
    this->Check(size);
    auto* const to = static_cast<uint8_t*>(data);
    std::copy_n(this->bytes.begin(), size, to);
    this->bytes.remove_prefix(size);
    if (!this->swaps) return;
    for (size_t at = 0; at < size; at += element) {
      std::reverse(to + at, to + at + element);
    }
  }

  // Check throws when fewer than `size` bytes are left.
  void Check(uint64_t size) const {
    if (size > this->bytes.size()) {
      throw cereal::Exception("a length exceeds the message");
    }
  }

  size_t left() const { return this->bytes.size(); }

 private:
  std::string_view bytes;
  bool swaps = false;
};

// The functions that cereal calls.

template <typename T, std::enable_if_t<std::is_arithmetic_v<T>, int> = 0>
void load(InputArchive& archive, T& value) {  // NOLINT: cereal's name
  archive.Read(std::addressof(value), sizeof(value), sizeof(value));
}

inline void load(InputArchive& archive, bool& value) {  // NOLINT: cereal's name
  uint8_t number = 0;
  archive.Read(&number, sizeof(number), sizeof(number));
  if (number > 1) throw cereal::Exception("neither true nor false");
  value = number == 1;
}

template <typename T>
void load(InputArchive& archive,  // NOLINT: cereal's name
          cereal::BinaryData<T>& data) {
  using Element = std::remove_pointer_t<T>;
  archive.Read(data.data, data.size, sizeof(Element));
}

template <typename T>
void serialize(InputArchive& archive,  // NOLINT: cereal's name
               cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

// Each element of a container takes at least one byte.
template <typename T>
void serialize(InputArchive& archive,  // NOLINT: cereal's name
               cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.Check(tag.size);
}

}  // namespace samphirebank::wire::internal

// Tells cereal which archive writes what this one reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    samphirebank::wire::internal::InputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // SAMPHIREBANK_WIRE_INTERNAL_INPUT_ARCHIVE_H_
