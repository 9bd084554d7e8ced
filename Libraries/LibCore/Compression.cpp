#include <LibCore/Compression.h>

#include <memory>
#include <new>
#include <zlib.h>

namespace comfreyrill {

namespace {

// The fastest level already compresses configurations to about an eighth of
// their size, and the hosts have only a tenth of a CPU core.
constexpr int CompressionLevel = Z_BEST_SPEED;
constexpr std::size_t ChunkBytes = std::size_t{64} * 1024;

struct InflateDeleter {
  void operator()(z_stream *Stream) const { ::inflateEnd(Stream); }
};

Error damagedDataError() {
  return {ErrorKind::InvalidInput,
          "the compressed data is damaged; fetch it from another host"};
}

} // namespace

std::string compress(std::string_view Text) {
  std::string Bytes(::compressBound(Text.size()), '\0');
  uLongf Size = Bytes.size();
  // compressBound() guarantees that the output fits, so compress2() can fail
  // only for lack of memory.
  if (::compress2(reinterpret_cast<Bytef *>(Bytes.data()), &Size,
                  reinterpret_cast<const Bytef *>(Text.data()), Text.size(),
                  CompressionLevel) != Z_OK)
    throw std::bad_alloc();
  Bytes.resize(Size);
  Bytes.shrink_to_fit();
  return Bytes;
}

Result<std::string> decompress(std::string_view Bytes,
                               std::size_t MaximumBytes) {
  z_stream Stream{};
  if (::inflateInit(&Stream) != Z_OK)
    return damagedDataError();
  const std::unique_ptr<z_stream, InflateDeleter> Guard(&Stream);
  // zlib does not modify its input although next_in is not a pointer to const.
  Stream.next_in =
      reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data())); // NOLINT
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  std::string Text;
  while (true) {
    const std::size_t Filled = Text.size();
    Text.resize(Filled + ChunkBytes);
    Stream.next_out = reinterpret_cast<Bytef *>(Text.data() + Filled);
    Stream.avail_out = ChunkBytes;
    const int Status = ::inflate(&Stream, Z_NO_FLUSH);
    Text.resize(Text.size() - Stream.avail_out);
    if (Text.size() > MaximumBytes)
      return Error{ErrorKind::TooLarge,
                   "the text is longer than " + std::to_string(MaximumBytes) +
                       " bytes; shorten it or raise the limit"};
    if (Status == Z_STREAM_END)
      return Text;
    if (Status != Z_OK || (Stream.avail_in == 0 && Stream.avail_out != 0))
      return damagedDataError();
  }
}

} // namespace comfreyrill
