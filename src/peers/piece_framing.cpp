#include "piece_framing.hpp"

namespace plantainslip::peers {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeadBytes = 1 + kLengthBytes;
constexpr unsigned kBitsAByte = 8;

} // namespace

std::string
FormatFrame(FrameKind aKind, std::string_view aText)
{
  std::string frame;
  frame.reserve(kHeadBytes + aText.size());
  frame.push_back(static_cast<char>(aKind));
  for (std::size_t byte = kLengthBytes; byte > 0; --byte) {
    frame.push_back(static_cast<char>(aText.size() >> ((byte - 1) * kBitsAByte)));
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
  if (this->broken || this->buffer.size() - this->position < kHeadBytes) {
    return std::nullopt;
  }
  const auto* head = reinterpret_cast<const unsigned char*>(this->buffer.data()) + this->position;
  std::size_t length = 0;
  for (std::size_t byte = 1; byte < kHeadBytes; ++byte) {
    length = (length << kBitsAByte) | head[byte];
  }
  if (head[0] > static_cast<unsigned char>(FrameKind::kError) || length > kLargestPieceBytes) {
    this->broken = true;
    return std::nullopt;
  }
  if (this->buffer.size() - this->position - kHeadBytes < length) {
    return std::nullopt;
  }
  PieceFrame frame{ static_cast<FrameKind>(head[0]),
                    this->buffer.substr(this->position + kHeadBytes, length) };
  this->position += kHeadBytes + length;
  return frame;
}

} // namespace plantainslip::peers
