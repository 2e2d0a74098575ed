// Loading and saving of strings, vectors, flags and enumerations for cereal's
// portable binary archives. Replaces cereal's own functions, which don't
// validate the message. Here memory grows only with the bytes read, a length
// takes one to five bytes instead of eight, a flag must be 0 or 1, and a number
// outside its enumeration is rejected.

#ifndef BLUEBELL_WIRE_INTERNAL_BOUNDED_ARCHIVE_H_
#define BLUEBELL_WIRE_INTERNAL_BOUNDED_ARCHIVE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

namespace bluebell::wire_internal {

// The highest value of an enumeration. Specialized for each enumeration that
// messages contain.
template <typename Enum>
struct last_enumerator;

// Saves seven bits in each byte, low bits first. The high bit is set if more
// bytes follow.
inline void SaveLength(cereal::PortableBinaryOutputArchive& archive,
                       std::size_t length) {
  constexpr std::size_t kContinuationBit = 0x80;
  while (length >= kContinuationBit) {
    archive(static_cast<std::uint8_t>(length % kContinuationBit +
                                      kContinuationBit));
    length /= kContinuationBit;
  }
  archive(static_cast<std::uint8_t>(length));
}

inline std::size_t LoadLength(cereal::PortableBinaryInputArchive& archive) {
  constexpr unsigned kBitsPerByte = 7;
  constexpr unsigned kMaxBits = 5 * kBitsPerByte;
  std::size_t length = 0;
  for (unsigned shift = 0; shift < kMaxBits; shift += kBitsPerByte) {
    std::uint8_t byte = 0;
    archive(byte);
    length |= static_cast<std::size_t>(byte & 0x7FU) << shift;
    if (byte < 0x80U) {
      return length;
    }
  }
  throw cereal::Exception("length has more than five bytes");
}

}  // namespace bluebell::wire_internal

namespace cereal {

inline void CEREAL_SAVE_FUNCTION_NAME(PortableBinaryOutputArchive& archive,
                                      const std::string& text) {
  bluebell::wire_internal::SaveLength(archive, text.size());
  archive.saveBinary<1>(text.data(), static_cast<std::streamsize>(text.size()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive,
                                      std::string& text) {
  constexpr std::size_t kMinChunkBytes = 64U << 10U;
  std::size_t remaining = bluebell::wire_internal::LoadLength(archive);
  text.clear();
  while (remaining > 0) {
    const std::size_t begin = text.size();
    const std::size_t chunk =
        std::min(remaining, std::max(kMinChunkBytes, begin));
    text.resize(begin + chunk);
    archive.loadBinary<1>(text.data() + begin,
                          static_cast<std::streamsize>(chunk));
    remaining -= chunk;
  }
}

template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(PortableBinaryOutputArchive& archive,
                               const std::vector<Element>& elements) {
  bluebell::wire_internal::SaveLength(archive, elements.size());
  for (const Element& element : elements) {
    archive(element);
  }
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive,
                               std::vector<Element>& elements) {
  const std::size_t count = bluebell::wire_internal::LoadLength(archive);
  elements.clear();
  for (std::size_t i = 0; i < count; ++i) {
    archive(elements.emplace_back());
  }
}

inline void CEREAL_SAVE_FUNCTION_NAME(PortableBinaryOutputArchive& archive,
                                      const bool& flag) {
  archive(static_cast<std::uint8_t>(flag ? 1 : 0));
}

inline void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive,
                                      bool& flag) {
  std::uint8_t byte = 0;
  archive(byte);
  if (byte > 1) {
    throw Exception("flag is neither 0 nor 1");
  }
  flag = byte == 1;
}

template <typename Enum>
requires std::is_enum_v<Enum>
struct specialize<PortableBinaryOutputArchive,
                  Enum,
                  specialization::non_member_load_save> : std::true_type {
};

template <typename Enum>
requires std::is_enum_v<Enum>
struct specialize<PortableBinaryInputArchive,
                  Enum,
                  specialization::non_member_load_save> : std::true_type {
};

template <typename Enum>
requires std::is_enum_v<Enum>
void CEREAL_SAVE_FUNCTION_NAME(PortableBinaryOutputArchive& archive,
                               const Enum& value) {
  archive(static_cast<std::uint8_t>(value));
}

template <typename Enum>
requires std::is_enum_v<Enum>
void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive,
                               Enum& value) {
  using bluebell::wire_internal::last_enumerator;
  std::uint8_t number = 0;
  archive(number);
  if (number > static_cast<std::uint8_t>(last_enumerator<Enum>::kValue)) {
    throw Exception("number is outside its enumeration");
  }
  value = static_cast<Enum>(number);
}

}  // namespace cereal

#endif  // BLUEBELL_WIRE_INTERNAL_BOUNDED_ARCHIVE_H_
