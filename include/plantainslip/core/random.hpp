#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace plantainslip::core {

/// @brief Source of random numbers that is passed in wherever a decision is random.
/// @note Not safe to share between threads; constant time; no errors.
class RandomSource
{
public:
  /// @brief Starts a repeatable sequence.
  /// @param aSeed  the same seed gives the same sequence
  explicit RandomSource(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  /// @brief Draws a whole number.
  /// @param aBound  upper bound, excluded; at least one
  /// @return a number of [0, aBound)
  std::uint64_t Below(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(this->engine);
  }

  /// @brief Draws a fraction.
  /// @return a number of [0, 1)
  double Fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); }

private:
  std::mt19937_64 engine;
};

/// @brief Makes a seed that differs between processes and calls.
/// @return a seed from the operating system; constant time
std::uint64_t
MakeSeed();

/// @brief Makes an identifier that no other process makes (a version 4 UUID).
/// @return 36 characters; constant time
std::string
MakeUniqueName();

} // namespace plantainslip::core
