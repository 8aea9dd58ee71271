#include "accounts.hpp"

#include <numeric>

namespace plantainslip::report {

namespace {

std::uint64_t
SumOfEnds(const InstanceSample& aSample)
{
  return std::accumulate(aSample.ends.begin(), aSample.ends.end(), std::uint64_t{ 0 });
}

// Closes the account of one process: its counters are final, and what was open has no known end.
void
CloseProcess(Account& aAccount, const InstanceSample& aLast)
{
  aAccount.accepted += aLast.accepted;
  aAccount.lost += aLast.lost;
  for (std::size_t end = 0; end < observe::kRequestEnds; ++end) {
    aAccount.ends[end] += aLast.ends[end];
  }
}

void
AddTo(Account& aTotal, const Account& aAccount)
{
  aTotal.accepted += aAccount.accepted;
  aTotal.open += aAccount.open;
  aTotal.lost += aAccount.lost;
  aTotal.endUnknown += aAccount.endUnknown;
  for (std::size_t end = 0; end < observe::kRequestEnds; ++end) {
    aTotal.ends[end] += aAccount.ends[end];
  }
}

// Follows the readings of one address.
class AddressFollower
{
public:
  explicit AddressFollower(std::string aAddress)
    : name(std::move(aAddress))
  {
  }

  void Take(const InstanceSample& aSample, std::vector<std::string>& aDifferences)
  {
    this->problem = aSample.problem;
    if (!aSample.problem.empty()) {
      return;
    }
    this->name = aSample.instance;
    if (this->seen && aSample.accepted < this->last.accepted) {
      this->EndProcess("restarted", aDifferences);
    }
    this->Compare(aSample, aDifferences);
    this->last = aSample;
    this->seen = true;
  }

  Account Finish(std::vector<std::string>& aDifferences)
  {
    this->account.instance = this->name;
    if (!this->problem.empty()) {
      aDifferences.push_back(this->name + " does not answer: " + this->problem);
    }
    if (!this->seen) {
      return this->account;
    }
    this->account.zone = this->last.zone;
    if (this->problem.empty()) {
      CloseProcess(this->account, this->last);
      this->account.open = this->last.open;
    } else {
      this->EndProcess("went", aDifferences);
    }
    if (this->account.lost > 0) {
      aDifferences.push_back(this->name + " lost " + std::to_string(this->account.lost) +
                             " requests without an end");
    }
    return this->account;
  }

private:
  void Compare(const InstanceSample& aSample, std::vector<std::string>& aDifferences)
  {
    const std::uint64_t known = SumOfEnds(aSample) + aSample.lost + aSample.open;
    if (known != aSample.accepted) {
      aDifferences.push_back(this->name + " accepted " + std::to_string(aSample.accepted) +
                             " requests and accounts for " + std::to_string(known));
    }
  }

  void EndProcess(const std::string& aHow, std::vector<std::string>& aDifferences)
  {
    CloseProcess(this->account, this->last);
    this->account.endUnknown += this->last.open;
    if (this->last.open > 0) {
      aDifferences.push_back(this->name + " " + aHow + " with " + std::to_string(this->last.open) +
                             " requests open at its last reading");
    }
    this->last = {};
    this->seen = this->problem.empty();
  }

  std::string name;
  Account account;
  InstanceSample last;
  std::string problem;
  bool seen = false;
};

} // namespace

Accounts
DrawUpAccounts(const std::vector<InstanceSample>& aSamples)
{
  Accounts accounts;
  std::map<std::string, AddressFollower> followers;
  for (const InstanceSample& sample : aSamples) {
    auto& follower = followers.try_emplace(sample.address, sample.address).first->second;
    follower.Take(sample, accounts.differences);
  }
  for (auto& [address, follower] : followers) {
    accounts.instances.push_back(follower.Finish(accounts.differences));
    AddTo(accounts.total, accounts.instances.back());
  }
  return accounts;
}

} // namespace plantainslip::report
