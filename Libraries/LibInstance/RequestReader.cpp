#include "LibInstance/RequestReader.h"

#include "LibCore/Digest.h"
#include "LibInstance/PeerSignature.h"

#include <algorithm>
#include <boost/json.hpp>

namespace yardrill::instance {

namespace json = boost::json;

static const std::string CompletionsPath = "/v1/completions";
static const std::string ChatPath = "/v1/chat/completions";
static const std::string ApplicationsPrefix = "/apps/";
static const std::string BearerPrefix = "Bearer ";
static const std::size_t BytesPerToken = 4; ///< Approximate, for English.
/// Estimate for requests that state no limit.
static const std::uint32_t DefaultOutputTokens = 256;
static const std::uint32_t MaxOutputTokens = 1'000'000;
/// Prompts that agree in these first bytes are assumed to share a cached
/// prefix.
static const std::size_t CachedPrefixBytes = 1024;
static const std::size_t MaxKeyBytes = 255;

static Problem problem(unsigned Status, const char *Type, const char *Title,
                       std::string Detail = "") {
  Problem Out;
  Out.m_Status = Status;
  Out.m_Type = Type;
  Out.m_Title = Title;
  Out.m_Detail = std::move(Detail);
  return Out;
}

std::optional<std::string> canonicalPath(const std::string &Target) {
  std::string Path = Target.substr(0, Target.find_first_of("?#"));
  std::string Out;
  for (std::size_t I = 0; I < Path.size(); ++I) {
    char C = Path[I];
    if (C == '%') {
      std::string Decoded = core::fromHex(Path.substr(I + 1, 2));
      if (Decoded.empty())
        return std::nullopt;
      C = Decoded.front();
      I += 2;
      if (C == '/' || C == '%')
        return std::nullopt;
    }
    if (static_cast<unsigned char>(C) < ' ' || C == 0x7f || C == '\\')
      return std::nullopt;
    Out += C;
  }
  bool IsAmbiguous = Out.empty() || Out.front() != '/' ||
                     Out.find("//") != std::string::npos ||
                     (Out + "/").find("/./") != std::string::npos ||
                     (Out + "/").find("/../") != std::string::npos;
  if (IsAmbiguous)
    return std::nullopt;
  return Out;
}

std::variant<const config::ClientAccount *, Problem>
RequestReader::authenticate(const http::RequestMessage &Request) const {
  const std::string *Value = Request.m_Headers.find("Authorization");
  if (!Value || Value->compare(0, BearerPrefix.size(), BearerPrefix) != 0)
    return problem(401, "no-credentials",
                   "An Authorization header with a bearer key is required");
  std::string Key = Value->substr(BearerPrefix.size());
  const auto *Account = m_Configuration.findAccountByKey(core::sha256Hex(Key));
  if (!Account)
    return problem(403, "unknown-key", "No client account has this key");
  return Account;
}

std::variant<ParsedRequest, Problem>
RequestReader::read(const http::RequestMessage &Request,
                    const config::ClientAccount &Account) const {
  auto Path = canonicalPath(Request.m_Target);
  if (!Path)
    return problem(400, "bad-path",
                   "The path has an ambiguous or invalid form");
  bool IsModelCall = *Path == CompletionsPath || *Path == ChatPath;
  bool IsApplicationCall =
      Path->compare(0, ApplicationsPrefix.size(), ApplicationsPrefix) == 0;
  if (!IsModelCall && !IsApplicationCall)
    return problem(404, "unknown-path", "No such path");
  if (IsModelCall && Request.m_Method != "POST")
    return problem(405, "bad-method", "This path supports only POST");
  ParsedRequest Out;
  Out.m_Arrival.m_Account = Account.m_Name;
  auto Rejection = readTier(Request, Account, Out);
  if (!Rejection)
    Rejection = IsModelCall ? readModelCall(Request, *Path, Out)
                            : readApplicationCall(Request, *Path, Out);
  if (!Rejection)
    Rejection = readIdentity(Request, Account, Out);
  if (Rejection)
    return *Rejection;
  return Out;
}

std::optional<Problem>
RequestReader::readTier(const http::RequestMessage &Request,
                        const config::ClientAccount &Account,
                        ParsedRequest &Out) const {
  std::string Name = Account.m_DefaultTier;
  if (const std::string *RequestedTier = Request.m_Headers.find(TierHeader))
    Name = *RequestedTier;
  const config::Tier *Tier = m_Configuration.findTier(Name);
  if (!Tier)
    return problem(400, "unknown-tier", "No such tier", Name);
  const auto &Allowed = Account.m_Tiers;
  if (std::find(Allowed.begin(), Allowed.end(), Name) == Allowed.end())
    return problem(403, "tier-not-allowed",
                   "This client account may not use this tier", Name);
  Out.m_Arrival.m_Tier = Tier->m_Number;
  return std::nullopt;
}

static std::uint64_t digestOf(const http::RequestMessage &Request) {
  return core::stableHash(Request.m_Method + "\n" + Request.m_Target + "\n" +
                          Request.m_Body);
}

std::optional<Problem>
RequestReader::readIdentity(const http::RequestMessage &Request,
                            const config::ClientAccount &Account,
                            ParsedRequest &Out) const {
  const std::string *Ticket = Request.m_Headers.find(TicketHeader);
  const std::string *Key = Request.m_Headers.find(IdempotencyKeyHeader);
  if (Ticket && Key)
    return problem(400, "two-identities",
                   "Send a Yardrill-Ticket or an Idempotency-Key, not both");
  if (Ticket) {
    Out.m_Arrival.m_Identity = m_Tickets.read(*Ticket, Account.m_Name);
    if (!Out.m_Arrival.m_Identity)
      return problem(400, "bad-ticket", "This ticket is not valid");
  }
  if (Key) {
    if (Key->empty() || Key->size() > MaxKeyBytes)
      return problem(400, "bad-idempotency-key",
                     "An Idempotency-Key must have 1 to 255 bytes");
    decision::Identity Id;
    Id.m_Kind = decision::IdentityKind::Key;
    // With the account's length, so that identities of different accounts
    // can't have the same name.
    const std::string &AccountName = Account.m_Name.value();
    Id.m_Name = "key " + std::to_string(AccountName.size()) + " " +
                AccountName + " " + *Key;
    Out.m_Arrival.m_Identity = Id;
  }
  if (Out.m_Arrival.m_Identity)
    Out.m_Arrival.m_Identity->m_BodyDigest = digestOf(Request);
  return std::nullopt;
}

/// Returns the caller's headers without credentials and hop-by-hop fields.
static http::HeaderList headersForTarget(const http::RequestMessage &Request) {
  http::HeaderList Out = Request.m_Headers;
  Out.removeHopByHop();
  for (const char *Name : {"Authorization", "Host", AccountHeader, TimeHeader,
                           SignatureHeader, TicketHeader, TierHeader})
    Out.remove(Name);
  return Out;
}

static std::string promptOf(const json::object &Body) {
  if (const json::value *Prompt = Body.if_contains("prompt"))
    return Prompt->is_string() ? std::string(Prompt->get_string())
                               : json::serialize(*Prompt);
  if (const json::value *Messages = Body.if_contains("messages"))
    return json::serialize(*Messages);
  return "";
}

static std::uint32_t outputTokensOf(const json::object &Body) {
  for (const char *Name : {"max_completion_tokens", "max_tokens"}) {
    const json::value *Limit = Body.if_contains(Name);
    if (Limit && Limit->is_int64() && Limit->get_int64() > 0)
      return static_cast<std::uint32_t>(
          std::min<std::int64_t>(Limit->get_int64(), MaxOutputTokens));
  }
  return DefaultOutputTokens;
}

static std::uint64_t prefixHashOf(const json::object &Body,
                                  const std::string &Prompt) {
  const json::value *CacheKey = Body.if_contains("prompt_cache_key");
  if (CacheKey && CacheKey->is_string())
    return core::stableHash(std::string(CacheKey->get_string()));
  if (Prompt.size() < CachedPrefixBytes)
    return 0;
  return core::stableHash(Prompt.substr(0, CachedPrefixBytes));
}

std::optional<Problem>
RequestReader::readModelCall(const http::RequestMessage &Request,
                             const std::string &Path,
                             ParsedRequest &Out) const {
  json::error_code Failure;
  json::value Parsed = json::parse(Request.m_Body, Failure);
  if (Failure || !Parsed.is_object())
    return problem(400, "bad-json", "The body is not a JSON object",
                   Failure ? Failure.message() : "");
  json::object &Body = Parsed.get_object();
  const json::value *Model = Body.if_contains("model");
  if (!Model || !Model->is_string())
    return problem(400, "no-model", "`model` must be a string");
  const auto *Pool =
      m_Configuration.findPoolForModel(std::string(Model->get_string()));
  if (!Pool)
    return toProblem(decision::RefusalKind::UnknownPool, 0);
  std::string Prompt = promptOf(Body);
  if (Prompt.empty())
    return problem(400, "no-prompt",
                   Path == ChatPath ? "`messages` must not be empty"
                                    : "`prompt` must not be empty");
  const json::value *Stream = Body.if_contains("stream");
  if (Stream && !Stream->is_bool())
    return problem(400, "bad-stream", "`stream` must be true or false");
  Out.m_IsStream = Stream && Stream->get_bool();
  Out.m_Arrival.m_Pool = Pool->m_Name;
  Out.m_Arrival.m_PrefillTokens =
      static_cast<std::uint32_t>(Prompt.size() / BytesPerToken + 1);
  Out.m_Arrival.m_OutputTokens = outputTokensOf(Body);
  Out.m_Arrival.m_PrefixHash = prefixHashOf(Body, Prompt);
  Out.m_TargetRequest.m_Method = "POST";
  Out.m_TargetRequest.m_Target = Path;
  Out.m_TargetRequest.m_Headers = headersForTarget(Request);
  // Replaces the caller's priority. Engines serve smaller numbers first, which
  // is the order of tiers.
  Body["priority"] = Out.m_Arrival.m_Tier.value();
  Out.m_TargetRequest.m_Body = json::serialize(Parsed);
  return std::nullopt;
}

/// Returns the rest of the target after `/apps/<pool>`, not decoded.
static std::string pathWithinPool(const std::string &Target) {
  std::size_t PathEnd = std::min(Target.find_first_of("?#"), Target.size());
  std::string Path = Target.substr(0, PathEnd);
  std::string Query = Target.substr(PathEnd);
  std::size_t Inner = Path.find('/', ApplicationsPrefix.size());
  return (Inner == std::string::npos ? "/" : Path.substr(Inner)) +
         Query.substr(0, Query.find('#'));
}

std::optional<Problem>
RequestReader::readApplicationCall(const http::RequestMessage &Request,
                                   const std::string &Path,
                                   ParsedRequest &Out) const {
  std::size_t End = Path.find('/', ApplicationsPrefix.size());
  std::string Name =
      Path.substr(ApplicationsPrefix.size(), End - ApplicationsPrefix.size());
  const auto *Pool = m_Configuration.findPool(core::PoolName(Name));
  if (!Pool || Pool->m_Kind != config::PoolKind::Application)
    return toProblem(decision::RefusalKind::UnknownPool, 0);
  std::string Inner = End == std::string::npos ? "/" : Path.substr(End);
  Out.m_Arrival.m_Pool = Pool->m_Name;
  const config::Route *Route = Pool->findRoute(Inner);
  bool IsRepeatable = !Route || Route->m_IsIdempotent;
  bool IsSafe = Request.m_Method == "GET" || Request.m_Method == "HEAD" ||
                Request.m_Method == "OPTIONS";
  Out.m_Arrival.m_IsIdentityRequired = !IsRepeatable && !IsSafe;
  // An evicted application call may already have taken full effect.
  Out.m_Arrival.m_IsEvictable = false;
  Out.m_Arrival.m_OutputTokens = 1;
  Out.m_TargetRequest.m_Method = Request.m_Method;
  Out.m_TargetRequest.m_Target = pathWithinPool(Request.m_Target);
  Out.m_TargetRequest.m_Headers = headersForTarget(Request);
  Out.m_TargetRequest.m_Body = Request.m_Body;
  return std::nullopt;
}

} // namespace yardrill::instance
