#include "piece_framing.hpp"

namespace plantainslip::peers {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 1 + kLengthBytes;
constexpr unsigned kBitsPerByte = 8;

} // namespace

std::string
FormatFrame(FrameKind aKind, std::string_view aText)
{
  std::string frame;
  frame.reserve(kHeaderBytes + aText.size());
  frame.push_back(static_cast<char>(aKind));
  for (std::size_t byte = kLengthBytes; byte > 0; --byte) {
    frame.push_back(static_cast<char>(aText.size() >> ((byte - 1) * kBitsPerByte)));
  }
  frame.append(aText);
  return frame;
}

void
FrameReader::Append(std::string_view aBytes)
{
  this->buffer.erase(0, this->position);
  this->position = 0;
  this->buffer.append(aBytes);
}

std::optional<PieceFrame>
FrameReader::Next()
{
  if (this->malformed || this->buffer.size() - this->position < kHeaderBytes) {
    return std::nullopt;
  }
  const auto* header = reinterpret_cast<const unsigned char*>(this->buffer.data()) + this->position;
  std::size_t length = 0;
  for (std::size_t byte = 1; byte < kHeaderBytes; ++byte) {
    length = (length << kBitsPerByte) | header[byte];
  }
  if (header[0] > static_cast<unsigned char>(FrameKind::kError) || length > kMaxPieceBytes) {
    this->malformed = true;
    return std::nullopt;
  }
  if (this->buffer.size() - this->position - kHeaderBytes < length) {
    return std::nullopt;
  }
  PieceFrame frame{ static_cast<FrameKind>(header[0]),
                    this->buffer.substr(this->position + kHeaderBytes, length) };
  this->position += kHeaderBytes + length;
  return frame;
}

} // namespace plantainslip::peers
