#include <plantainslip/membership/message.hpp>

#include <array>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <plantainslip/membership/errors.hpp>

namespace plantainslip::membership {

namespace {

using nlohmann::json;

constexpr std::size_t kSignatureBytes = 16;
constexpr std::size_t kMaxItems = 64;

using Signature = std::array<unsigned char, EVP_MAX_MD_SIZE>;

Signature
Sign(std::string_view aBytes, const std::string& aKey)
{
  Signature signature{};
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()),
       aBytes.size(),
       signature.data(),
       nullptr);
  return signature;
}

std::string
FormatAddress(const net::Address& aAddress)
{
  return aAddress.port == 0 ? std::string() : aAddress.Text();
}

json
FormatRecord(const MemberRecord& aRecord)
{
  return json::array({ aRecord.instance.Text(),
                       aRecord.zone.Text(),
                       FormatAddress(aRecord.address),
                       aRecord.incarnation.Number(),
                       static_cast<unsigned>(aRecord.state) });
}

MemberRecord
ParseRecord(const json& aItem)
{
  MemberRecord record;
  record.instance = core::InstanceId(aItem.at(0).get<std::string>());
  record.zone = core::ZoneId(aItem.at(1).get<std::string>());
  record.address = net::Address::Parse(aItem.at(2).get<std::string>()).value_or(net::Address{});
  record.incarnation = Incarnation(aItem.at(3).get<std::uint64_t>());
  const unsigned state = aItem.at(4).get<unsigned>();
  record.state = state > 2 ? MemberState::kSuspect : static_cast<MemberState>(state);
  return record;
}

Message
ParseBody(const json& aBody)
{
  Message message;
  message.kind = static_cast<MessageKind>(aBody.at(0).get<unsigned>() % 4);
  message.sequence = aBody.at(1).get<std::uint64_t>();
  message.sender = ParseRecord(aBody.at(2));
  message.subject = core::InstanceId(aBody.at(3).get<std::string>());
  message.subjectAddress =
    net::Address::Parse(aBody.at(4).get<std::string>()).value_or(net::Address{});
  message.configuration = core::ConfigVersion(aBody.at(5).get<std::uint64_t>());
  for (const json& item : aBody.at(6)) {
    message.updates.push_back(ParseRecord(item));
  }
  for (const json& item : aBody.at(7)) {
    message.marks.push_back(
      { item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>(), item.at(2).get<bool>() });
  }
  return message;
}

} // namespace

std::string
FormatMessage(const Message& aMessage, const std::string& aKey)
{
  json updates = json::array();
  for (const MemberRecord& record : aMessage.updates) {
    updates.push_back(FormatRecord(record));
  }
  json marks = json::array();
  for (const LeavingMark& mark : aMessage.marks) {
    marks.push_back(json::array({ mark.name, mark.version, mark.leaving }));
  }
  const json body = json::array({ static_cast<unsigned>(aMessage.kind),
                                  aMessage.sequence,
                                  FormatRecord(aMessage.sender),
                                  aMessage.subject.Text(),
                                  FormatAddress(aMessage.subjectAddress),
                                  aMessage.configuration.Number(),
                                  std::move(updates),
                                  std::move(marks) });
  std::string bytes;
  json::to_cbor(body, bytes);
  const Signature signature = Sign(bytes, aKey);
  bytes.append(reinterpret_cast<const char*>(signature.data()), kSignatureBytes);
  return bytes;
}

absl::StatusOr<Message>
ParseMessage(std::string_view aBytes, const std::string& aKey)
{
  if (aBytes.size() <= kSignatureBytes) {
    return core::MakeError(errors::kBadDatagram, "the datagram is shorter than its signature");
  }
  const std::string_view bytes = aBytes.substr(0, aBytes.size() - kSignatureBytes);
  const Signature signature = Sign(bytes, aKey);
  if (CRYPTO_memcmp(signature.data(), aBytes.data() + bytes.size(), kSignatureBytes) != 0) {
    return core::MakeError(errors::kBadDatagram, "the signature does not match");
  }
  try {
    Message message = ParseBody(json::from_cbor(bytes.begin(), bytes.end()));
    if (message.updates.size() > kMaxItems || message.marks.size() > kMaxItems) {
      return core::MakeError(errors::kBadDatagram, "too many member records or marks");
    }
    return message;
  } catch (const json::exception& problem) {
    return core::MakeError(errors::kBadDatagram, problem.what());
  }
}

} // namespace plantainslip::membership
