#include <plantainslip/claims/claim_book.hpp>

#include <nlohmann/json.hpp>

#include <plantainslip/claims/errors.hpp>
#include <plantainslip/platform/errors.hpp>

namespace plantainslip::claims {

namespace {

using nlohmann::json;

constexpr std::size_t kLongestKeyBytes = 128;

std::string
StoreKey(const core::IdempotencyKey& aKey)
{
  return "claims/" + aKey.Text();
}

absl::Status
TurnStoreError(const absl::Status& aStatus)
{
  return core::MakeError(errors::kStoreUnavailable, aStatus.message());
}

class StoreClaimBook final : public ClaimBook
{
public:
  explicit StoreClaimBook(platform::Store& aStore)
    : store(aStore)
  {
  }

  absl::StatusOr<ClaimResult> Claim(const core::IdempotencyKey& aKey,
                                    const core::RequestId& aRequest) override
  {
    if (aKey.Empty() || aKey.Text().size() > kLongestKeyBytes) {
      return core::MakeError(errors::kBadKey, "the key must have 1 to 128 bytes");
    }
    const json claim = { { "request", aRequest.Text() } };
    const auto written = this->store.CompareAndSwap(StoreKey(aKey), core::Revision(), claim.dump());
    if (written.ok()) {
      return ClaimResult{ true, std::nullopt };
    }
    const bool neverWritten = core::IsError(written.status(), platform::errors::kUnavailable);
    return neverWritten ? TurnStoreError(written.status()) : this->LookUp(aKey, aRequest);
  }

  absl::Status Record(const core::IdempotencyKey& aKey,
                      const core::RequestId& aRequest,
                      const RecordedOutcome& aOutcome) override
  {
    const auto stored = this->store.Get(StoreKey(aKey));
    if (!stored.ok() || !stored->has_value()) {
      return core::MakeError(errors::kStoreUnavailable, aKey.Text());
    }
    const json line = { { "request", aRequest.Text() },
                        { "status", aOutcome.status },
                        { "body", aOutcome.body } };
    const auto written =
      this->store.CompareAndSwap(StoreKey(aKey),
                                 (*stored)->revision,
                                 line.dump(-1, ' ', false, json::error_handler_t::replace));
    return written.ok() ? absl::OkStatus() : TurnStoreError(written.status());
  }

private:
  absl::StatusOr<ClaimResult> LookUp(const core::IdempotencyKey& aKey,
                                     const core::RequestId& aRequest)
  {
    const auto stored = this->store.Get(StoreKey(aKey));
    if (!stored.ok()) {
      return TurnStoreError(stored.status());
    }
    if (!stored->has_value()) {
      return core::MakeError(errors::kStoreUnavailable, "the claim's write was lost");
    }
    const json line = json::parse((*stored)->value, nullptr, false);
    if (line.contains("status")) {
      return ClaimResult{ false, RecordedOutcome{ line["status"], line.value("body", "") } };
    }
    // The write's answer was lost, but the claim is this request's own.
    if (line.value("request", "") == aRequest.Text()) {
      return ClaimResult{ true, std::nullopt };
    }
    return core::MakeError(errors::kClaimedBefore, aKey.Text());
  }

  platform::Store& store;
};

} // namespace

std::unique_ptr<ClaimBook>
MakeStoreClaimBook(platform::Store& aStore)
{
  return std::make_unique<StoreClaimBook>(aStore);
}

} // namespace plantainslip::claims
