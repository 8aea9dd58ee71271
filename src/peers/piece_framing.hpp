#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainslip::peers {

/// @brief Largest message or piece between peers, in bytes.
inline constexpr std::size_t kLargestPieceBytes = 8'000'000;
/// @brief Header that carries the peers' key.
inline constexpr std::string_view kKeyHeader = "x-peer-key";
inline constexpr std::string_view kCallPath = "/call/";
inline constexpr std::string_view kStreamPath = "/stream/";

/// @brief What one frame of an answer's body is.
enum class FrameKind : std::uint8_t
{
  /// @brief A piece, as the handler sent it.
  kPiece = 0,
  /// @brief The answer is whole; nothing follows.
  kEnd = 1,
  /// @brief The answer is not whole; the text says why.
  kError = 2,
};

/// @brief One frame of an answer's body.
struct PieceFrame
{
  FrameKind kind = FrameKind::kPiece;
  std::string text;
};

/// @brief Writes a frame: kind, length in four bytes (big-endian), text. Linear; no errors.
std::string
FormatFrame(FrameKind aKind, std::string_view aText);

/// @brief Cuts an answer's bytes back into frames.
class FrameReader
{
public:
  /// @brief Takes bytes as they arrive.
  void Append(std::string_view aBytes);
  /// @brief Gives the next whole frame; nothing if more bytes are needed or the bytes are broken.
  std::optional<PieceFrame> Next();
  /// @brief Tells whether the bytes cannot be frames.
  bool Broken() const { return this->broken; }

private:
  std::string buffer;
  std::size_t position = 0;
  bool broken = false;
};

} // namespace plantainslip::peers
