#include "core/compression.h"

#include <zlib.h>

#include <array>

#include "core/error.h"

namespace currantbeam {
namespace {

constexpr std::size_t kBufferBytes = 16 * 1024;

/// The state of a decompression.
class Inflater {
 public:
  Inflater() {
    if (::inflateInit(&this->stream) != Z_OK) {
      throw InputError("decompression cannot be started");
    }
  }
  ~Inflater() { ::inflateEnd(&this->stream); }
  Inflater(const Inflater&) = delete;
  auto operator=(const Inflater&) -> Inflater& = delete;

  z_stream stream{};
};

}  // namespace

auto Compress(const std::string& bytes) -> std::string {
  auto length = ::compressBound(bytes.size());
  std::string compressed(length, '\0');
  const auto result = ::compress2(
      reinterpret_cast<Bytef*>(compressed.data()), &length,
      reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  if (result != Z_OK) throw Error("compression failed");
  compressed.resize(length);
  return compressed;
}

auto Decompress(const std::string& compressed, std::size_t max_bytes)
    -> std::string {
  Inflater inflater;
  auto& stream = inflater.stream;
  // The library's interface lacks the const.
  stream.next_in =
      reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string bytes;
  std::array<char, kBufferBytes> buffer{};
  int result = Z_OK;
  while (result != Z_STREAM_END) {
    stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
    stream.avail_out = kBufferBytes;
    result = ::inflate(&stream, Z_NO_FLUSH);
    if (result != Z_OK && result != Z_STREAM_END) {
      throw InputError("compressed data are invalid or incomplete");
    }
    bytes.append(buffer.data(), kBufferBytes - stream.avail_out);
    if (bytes.size() > max_bytes) {
      throw InputError("compressed data are too large");
    }
  }
  return bytes;
}

}  // namespace currantbeam
