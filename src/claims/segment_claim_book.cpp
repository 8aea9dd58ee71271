#include <plantainslip/claims/claim_book.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

#include <plantainslip/claims/detail/commit_messages.hpp>
#include <plantainslip/claims/detail/group_commit.hpp>
#include <plantainslip/claims/errors.hpp>
#include <plantainslip/core/log.hpp>

namespace plantainslip::claims {

namespace {

using detail::CommitResult;

class SegmentClaimBook final : public ClaimBook
{
public:
  SegmentClaimBook(const ClaimBookOptions& aOptions, ClaimBookPorts aPorts)
    : options(aOptions)
    , ports(std::move(aPorts))
    , commit(ports.store, ports.clock, aOptions.layout, aOptions.commitInterval)
  {
    if (aOptions.flushInterval.count() > 0) {
      this->flusher =
        std::jthread([this](const std::stop_token& aStop) { this->RunFlushLoop(aStop); });
    }
  }

  absl::StatusOr<ClaimResult> Claim(const core::IdempotencyKey& aKey,
                                    const core::RequestId& aAttempt,
                                    const std::string& aFingerprint) override
  {
    const auto key = ParseClaimKey(aKey);
    if (!key.ok()) {
      return key.status();
    }
    const absl::Status age = CheckAge(*key, this->options.window, this->ports.clock.WallNow());
    if (!age.ok()) {
      return age;
    }
    const ClaimOperation operation{ *key, aAttempt, aFingerprint, std::nullopt };
    const CommitResult committed = this->Commit(operation);
    if (!committed.status.ok()) {
      return this->FailClaim(operation, committed);
    }
    return ToClaimResult(operation, committed.result);
  }

  absl::Status Record(const core::IdempotencyKey& aKey,
                      const core::RequestId& aAttempt,
                      const std::string& aFingerprint,
                      const RecordedOutcome& aOutcome) override
  {
    const auto key = ParseClaimKey(aKey);
    if (!key.ok()) {
      return key.status();
    }
    const ClaimOperation operation{ *key, aAttempt, aFingerprint, aOutcome };
    const CommitResult committed = this->Commit(operation);
    if (!committed.status.ok()) {
      this->commit.Defer(operation);
    }
    return committed.status;
  }

  absl::StatusOr<std::string> HandleCommit(const std::string& aBody) override
  {
    auto operation = detail::DecodeOperation(aBody);
    if (!operation.ok()) {
      return operation.status();
    }
    return detail::EncodeResult(this->commit.Submit(*std::move(operation)));
  }

  void Flush() override { this->commit.Flush(); }

private:
  // If the call to the owner fails, this instance writes the operation itself. The owner may have
  // written it too, which is safe because operations are idempotent.
  CommitResult Commit(const ClaimOperation& aOperation)
  {
    const SegmentId segmentId = SegmentIdOf(aOperation.key, this->options.layout);
    const auto owner = this->ports.findOwner ? this->ports.findOwner(segmentId.bucket)
                                             : std::optional<net::Address>();
    bool uncertain = false;
    if (owner.has_value() && this->ports.peers != nullptr) {
      const auto answer = this->ports.peers->Call(
        *owner, kCommitMessage, detail::EncodeOperation(aOperation), this->options.peerTimeout);
      auto result = answer.ok() ? detail::DecodeResult(*answer) : answer.status();
      if (result.ok() && result->status.ok()) {
        return *std::move(result);
      }
      uncertain = true;
    }
    CommitResult local = this->commit.Submit(aOperation);
    local.uncertain = local.uncertain || uncertain;
    return local;
  }

  // The attempt will not run. If its claim may be in the store or may still reach it, the key is
  // recorded as not run.
  absl::Status FailClaim(const ClaimOperation& aOperation, const CommitResult& aCommitted)
  {
    if (aCommitted.uncertain) {
      ClaimOperation notRun = aOperation;
      notRun.outcome = RecordedOutcome{ core::Outcome::kNotRun, 0, "", true };
      this->commit.Defer(std::move(notRun));
    }
    const auto age = this->ports.clock.WallNow() - aOperation.key.createdAt;
    const bool isFirstSend = age <= this->options.maxFirstSendAge;
    return core::MakeError(isFirstSend ? errors::kStoreUnavailable : errors::kEarlierCallUnknown,
                           aCommitted.status.message());
  }

  static absl::StatusOr<ClaimResult> ToClaimResult(const ClaimOperation& aOperation,
                                                   const OperationResult& aResult)
  {
    const std::string& key = aOperation.key.text;
    switch (aResult.verdict) {
      case Verdict::kGranted:
        return ClaimResult{ true, std::nullopt };
      case Verdict::kAlreadyCompleted:
        return ToRecordedResult(key, aResult.recorded);
      case Verdict::kReused:
        return core::MakeError(errors::kKeyReused, key);
      case Verdict::kFull:
        return core::MakeError(errors::kSegmentFull, key);
      case Verdict::kTooOld:
        return core::MakeError(errors::kKeyTooOld, key);
      default:
        return core::MakeError(errors::kClaimedBefore, key);
    }
  }

  static absl::StatusOr<ClaimResult> ToRecordedResult(const std::string& aKey,
                                                      const RecordedOutcome& aRecorded)
  {
    if (aRecorded.outcome == core::Outcome::kNotRun) {
      return core::MakeError(errors::kSpent, aKey);
    }
    if (!aRecorded.bodyKept) {
      return core::MakeError(errors::kAnswerNotKept,
                             aKey + ", status " + std::to_string(aRecorded.status));
    }
    return ClaimResult{ false, aRecorded };
  }

  void RunFlushLoop(const std::stop_token& aStop)
  {
    std::unique_lock lock(this->flushMutex);
    while (!aStop.stop_requested()) {
      this->flushWakeup.wait_for(lock, aStop, this->options.flushInterval, [] { return false; });
      this->commit.Flush();
    }
  }

  ClaimBookOptions options;
  ClaimBookPorts ports;
  detail::GroupCommit commit;
  std::mutex flushMutex;
  std::condition_variable_any flushWakeup;
  // Declared last, so that the thread is joined before the members it uses are destroyed.
  std::jthread flusher;
};

} // namespace

std::unique_ptr<ClaimBook>
MakeSegmentClaimBook(const ClaimBookOptions& aOptions, ClaimBookPorts aPorts)
{
  return std::make_unique<SegmentClaimBook>(aOptions, std::move(aPorts));
}

} // namespace plantainslip::claims
