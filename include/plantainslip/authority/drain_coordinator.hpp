#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <plantainslip/authority/drain_marks.hpp>
#include <plantainslip/peers/peer_client.hpp>
#include <plantainslip/platform/instance_list.hpp>

namespace plantainslip::authority {

/// @brief Sends the zone's marks to its entry instances and counts who confirmed them.
/// @note One thread.
class DrainCoordinator
{
public:
  /// @param aPeers  has to outlive the coordinator
  /// @param aTimeout  longest wait for one entry instance
  /// @param aThreads  most entry instances that are asked at once
  DrainCoordinator(peers::PeerClient& aPeers,
                   std::chrono::milliseconds aTimeout,
                   std::size_t aThreads);

  /// @brief Forgets who knows what, as at the beginning of a term.
  void Forget();

  /// @brief Sends every entry instance the marks of draining targets, and those lifted marks that
  ///        it has not confirmed. Sends nothing where there are none.
  /// @param aEntries  listed entry instances of the zone
  /// @param aMarks  marks of the whole zone
  void Sync(const std::vector<platform::ListedInstance>& aEntries,
            const std::vector<DrainMark>& aMarks);

  /// @brief Tells whether every entry instance confirmed in the last Sync() that the target is
  ///        draining and that it has no attempt under way there.
  bool IsQuiet(const core::TargetId& aTarget) const;

private:
  struct Question
  {
    const platform::ListedInstance* entry = nullptr;
    std::vector<DrainMark> marks;
    std::vector<DrainReply> replies;
  };

  std::vector<DrainMark> MarksFor(const std::string& aEntry,
                                  const std::vector<DrainMark>& aMarks) const;
  void Ask(Question& aQuestion);
  void Count(const Question& aQuestion);

  peers::PeerClient& peers;
  std::chrono::milliseconds timeout;
  std::size_t threads;
  std::map<std::string, std::map<core::TargetId, core::Revision>> confirmed;
  std::size_t asked = 0;
  std::map<core::TargetId, std::size_t> quiet;
};

} // namespace plantainslip::authority
