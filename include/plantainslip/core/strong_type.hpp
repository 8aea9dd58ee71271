#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace plantainslip::core {

/// @brief Text identifier whose type keeps identifiers of different things apart.
/// @tparam Tag  empty type that names the thing identified
/// @note Comparison is linear in the length of the text. No function reports an error.
template<typename Tag>
class StrongId
{
public:
  /// @brief Creates the empty identifier, which names nothing.
  StrongId() = default;

  /// @brief Wraps a text.
  /// @param aText  the identifier as it appears on the wire
  explicit StrongId(std::string aText)
    : text(std::move(aText))
  {
  }

  /// @brief Gives the identifier as it appears on the wire. Constant time.
  /// @return the wrapped text, which lives as long as this object
  const std::string& Text() const { return this->text; }

  /// @brief Tells whether the identifier names nothing. Constant time.
  /// @return true for the empty identifier
  bool Empty() const { return this->text.empty(); }

  /// @brief Orders identifiers by their text.
  auto operator<=>(const StrongId&) const = default;

private:
  std::string text;
};

/// @brief Number whose type keeps versions, tokens and counts apart.
/// @tparam Tag  empty type that names the quantity
/// @note All functions take constant time and report no error.
template<typename Tag>
class StrongNumber
{
public:
  /// @brief Creates the number zero.
  constexpr StrongNumber() = default;

  /// @brief Wraps a number.
  /// @param aNumber  the plain number
  constexpr explicit StrongNumber(std::uint64_t aNumber)
    : number(aNumber)
  {
  }

  /// @brief Gives the plain number.
  /// @return the wrapped number
  constexpr std::uint64_t Number() const { return this->number; }

  /// @brief Gives the number that follows this one.
  /// @return this number plus one
  constexpr StrongNumber Next() const { return StrongNumber(this->number + 1); }

  /// @brief Orders numbers by their value.
  constexpr auto operator<=>(const StrongNumber&) const = default;

private:
  std::uint64_t number = 0;
};

} // namespace plantainslip::core

/// @brief Hash of an identifier, so that it can be a key of unordered containers.
template<typename Tag>
struct std::hash<plantainslip::core::StrongId<Tag>>
{
  std::size_t operator()(const plantainslip::core::StrongId<Tag>& aId) const
  {
    return std::hash<std::string>{}(aId.Text());
  }
};
