#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainslip::peers {

/// @brief Maximum size of a message or piece between peers, in bytes.
inline constexpr std::size_t kMaxPieceBytes = 8'000'000;
/// @brief Header that carries the shared key between peers.
inline constexpr std::string_view kKeyHeader = "x-peer-key";
inline constexpr std::string_view kCallPathPrefix = "/call/";
inline constexpr std::string_view kStreamPathPrefix = "/stream/";

/// @brief Type of a frame in an answer's body.
enum class FrameKind : std::uint8_t
{
  /// @brief A piece, as the handler sent it.
  kPiece = 0,
  /// @brief End of a complete answer.
  kEnd = 1,
  /// @brief The answer is incomplete; the text is the error message.
  kError = 2,
};

/// @brief One frame of an answer's body.
struct PieceFrame
{
  FrameKind kind = FrameKind::kPiece;
  std::string text;
};

/// @brief Formats a frame: kind, length in four bytes (big-endian), text. Linear; no errors.
std::string
FormatFrame(FrameKind aKind, std::string_view aText);

/// @brief Splits the bytes of an answer into frames.
class FrameReader
{
public:
  /// @brief Appends received bytes.
  void Append(std::string_view aBytes);
  /// @brief Returns the next complete frame.
  /// @return std::nullopt if more bytes are needed or the input is malformed
  std::optional<PieceFrame> Next();
  /// @brief Returns whether the input contained an unknown kind or a length over kMaxPieceBytes.
  bool IsMalformed() const { return this->malformed; }

private:
  std::string buffer;
  std::size_t position = 0;
  bool malformed = false;
};

} // namespace plantainslip::peers
