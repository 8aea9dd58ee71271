#pragma once

#include <string>

namespace plantainslip::apps {

/// @brief A setting that must not be printed: it has no output operator and no default to show.
class Secret
{
public:
  /// @brief Takes the value.
  void Set(std::string aValue) { this->value = std::move(aValue); }

  /// @brief Gives the value, to hand to the code that proves or checks with it; never to a log.
  const std::string& Reveal() const { return this->value; }

  /// @brief Tells whether none was given.
  bool Empty() const { return this->value.empty(); }

private:
  std::string value;
};

} // namespace plantainslip::apps
