#include "LibConfig/FleetConfiguration.h"

#include "LibConfig/YamlReader.h"
#include "LibCore/Digest.h"

#include <algorithm>
#include <cctype>

namespace yardrill::config {

static const IntegerRange TierNumberRange{1, 16};
static const IntegerRange CountRange{1, 1'000'000};
static const IntegerRange CountOrZeroRange{0, 1'000'000};
static const IntegerRange DeadlineRangeMs{1, 86'400'000};
static const std::size_t Sha256HexDigits = 64;
static const std::size_t MaxNameBytes = 64;

const char *FleetConfiguration::example() {
  return R"(# Fleet configuration: published with `yardrill config publish`.
tiers:
  - {name: hold, tier: 1, deadline_ms: 3000}
  - {name: assist, tier: 2, deadline_ms: 20000}
  - {name: batch, tier: 3, deadline_ms: 120000}
client_accounts:
  - name: box-office
    key_sha256: 7d1a5cfd5ff1bb78b02b0b0ea6ad5e5ed3f2b5d2cf5dbd7a3c6b0f3b3ff2ab11
    default_tier: assist
    tiers: [hold, assist, batch]
    weight: 1
    open_requests: 10000
pools:
  - name: assistant
    kind: model
    models: [assistant-1]
    queue_limit: 1000
    kept_places: 0
    prefill_weight: 25
    targets:
      - {name: edinburgh-1, address: 127.0.0.1:9001, data_hall: edinburgh, places: 8}
  - name: seats
    kind: application
    queue_limit: 1000
    routes:
      - {prefix: /transfers, repeatable: false}
    targets:
      - {name: seats-1, address: 127.0.0.1:9101, data_hall: glasgow, places: 32}
)";
}

/// Names occur in keys, paths, metrics and logs, where other characters would
/// need escapes.
static std::string readName(YamlReader &Reader) {
  std::string Name = Reader.readString("name");
  bool IsPlain = !Name.empty() && Name.size() <= MaxNameBytes;
  for (char C : Name)
    IsPlain = IsPlain && (std::isalnum(static_cast<unsigned char>(C)) ||
                          C == '-' || C == '_' || C == '.');
  if (!IsPlain)
    Reader.reportError("name", "is \"" + Name + "\"",
                       "1 to 64 letters, digits, '-', '_' and '.'");
  return Name;
}

static Tier readTier(YamlReader &Reader) {
  Tier Out;
  Out.m_Name = readName(Reader);
  Out.m_Number = core::TierNumber(
      static_cast<std::uint32_t>(Reader.readInteger("tier", TierNumberRange)));
  Out.m_Deadline =
      Reader.readMilliseconds("deadline_ms", DeadlineRangeMs, 30000);
  return Out;
}

static ClientAccount readAccount(YamlReader &Reader,
                                 const std::vector<Tier> &Tiers) {
  ClientAccount Out;
  Out.m_Name = core::AccountName(readName(Reader));
  Out.m_KeySha256 = Reader.readString("key_sha256");
  std::string Digest = core::fromHex(Out.m_KeySha256);
  bool IsHex = Digest.size() * 2 == Sha256HexDigits;
  // Keys are looked up by lower-case digits.
  if (IsHex)
    Out.m_KeySha256 = core::toHex(Digest);
  else
    Reader.reportError("key_sha256", "is not a SHA-256 digest",
                       "64 hex digits");
  Out.m_DefaultTier = Reader.readString("default_tier");
  Out.m_Tiers = Reader.readStrings("tiers");
  Out.m_Tiers.push_back(Out.m_DefaultTier);
  Out.m_Weight = Reader.readNumber("weight", 0.001, 1000, 1);
  Out.m_MaxOpenRequests = static_cast<std::size_t>(
      Reader.readInteger("open_requests", CountRange, 10000));
  for (const std::string &Name : Out.m_Tiers) {
    bool IsKnown = std::any_of(Tiers.begin(), Tiers.end(),
                               [&](const Tier &T) { return T.m_Name == Name; });
    if (!IsKnown)
      Reader.reportError("default_tier",
                         "or tiers names the undefined tier \"" + Name + "\"",
                         "the name of an entry of tiers");
  }
  return Out;
}

static Target readTarget(YamlReader &Reader) {
  Target Out;
  Out.m_Name = core::TargetName(readName(Reader));
  Out.m_Address = Reader.readEndpoint("address");
  Out.m_DataHall = core::DataHallName(Reader.readString("data_hall"));
  Out.m_Slots =
      static_cast<std::size_t>(Reader.readInteger("places", CountRange, 8));
  Out.m_IsLeaving = Reader.readBoolean("leaving", false);
  return Out;
}

static Route readRoute(YamlReader &Reader) {
  Route Out;
  Out.m_Prefix = Reader.readString("prefix");
  if (Out.m_Prefix.empty() || Out.m_Prefix.front() != '/')
    Reader.reportError("prefix", "is \"" + Out.m_Prefix + "\"",
                       "a path that starts with /");
  Out.m_IsIdempotent = Reader.readBoolean("repeatable", true);
  return Out;
}

static Pool readPool(YamlReader &Reader) {
  Pool Out;
  Out.m_Name = core::PoolName(readName(Reader));
  Out.m_Kind = Reader.readChoice("kind", {"model", "application"}) == "model"
                   ? PoolKind::Model
                   : PoolKind::Application;
  Out.m_Models = Reader.readStrings("models");
  Out.m_QueueLimit = static_cast<std::size_t>(
      Reader.readInteger("queue_limit", CountRange, 1000));
  Out.m_ReservedSlots = static_cast<std::size_t>(
      Reader.readInteger("kept_places", CountOrZeroRange, 0));
  Out.m_PrefillWeight = Reader.readNumber("prefill_weight", 0, 1000, 25);
  Reader.readList("routes",
                  [&](YamlReader &R) { Out.m_Routes.push_back(readRoute(R)); });
  Reader.readList("targets", [&](YamlReader &R) {
    Out.m_Targets.push_back(readTarget(R));
  });
  if (Out.m_Kind == PoolKind::Model && Out.m_Models.empty())
    Reader.reportError("models", "names no model", "one model or more");
  if (Out.m_Kind == PoolKind::Application && !Out.m_Models.empty())
    Reader.reportError("models", "is set in an application pool", "no models");
  for (const Target &T : Out.m_Targets)
    if (T.m_Slots <= Out.m_ReservedSlots)
      Reader.reportError("kept_places",
                         "reserves all places of target " + T.m_Name.value(),
                         "fewer than the places of each target");
  return Out;
}

/// Adds \p Name to \p Seen; reports an error when it is there already.
template <class Map, class Key>
static void reportIfDuplicate(Map &Seen, const Key &Name, std::size_t Index,
                              YamlReader &Reader, const char *Field) {
  if (!Seen.emplace(Name, Index).second)
    Reader.reportError(Field, "repeats an earlier value", "each value once");
}

std::shared_ptr<const FleetConfiguration>
FleetConfiguration::parse(const std::string &Text, const std::string &File,
                          core::ConfigurationVersion Version) {
  YAML::Node Root =
      YamlReader::load(Text, File, core::ErrorKind::Configuration);
  std::vector<Diagnostic> Diagnostics;
  std::shared_ptr<FleetConfiguration> Out(new FleetConfiguration());
  Out->m_Version = Version;
  Out->m_Text = Text;
  Out->m_Digest = core::stableHash(Text);
  YamlReader Reader(Root, "", Diagnostics);
  std::unordered_map<std::string, std::size_t> Names;
  std::unordered_map<std::uint32_t, std::size_t> Numbers;
  Reader.readList("tiers", [&](YamlReader &R) {
    Out->m_Tiers.push_back(readTier(R));
    reportIfDuplicate(Names, Out->m_Tiers.back().m_Name, 0, R, "name");
    reportIfDuplicate(Numbers, Out->m_Tiers.back().m_Number.value(), 0, R,
                      "tier");
  });
  Reader.readList("client_accounts", [&](YamlReader &R) {
    Out->m_Accounts.push_back(readAccount(R, Out->m_Tiers));
    const ClientAccount &Last = Out->m_Accounts.back();
    reportIfDuplicate(Out->m_AccountByName, Last.m_Name, 0, R, "name");
    reportIfDuplicate(Out->m_AccountByKey, Last.m_KeySha256, 0, R,
                      "key_sha256");
  });
  std::unordered_map<core::TargetName, std::size_t> TargetNames;
  Reader.readList("pools", [&](YamlReader &R) {
    Out->m_Pools.push_back(readPool(R));
    const Pool &Last = Out->m_Pools.back();
    reportIfDuplicate(Out->m_PoolByName, Last.m_Name, 0, R, "name");
    for (const std::string &Model : Last.m_Models)
      reportIfDuplicate(Out->m_PoolByModel, Model, 0, R, "models");
    for (const Target &T : Last.m_Targets)
      reportIfDuplicate(TargetNames, T.m_Name, 0, R, "targets");
  });
  Out->m_Policy = Reader.readString("policy", "");
  if (Out->m_Tiers.empty())
    Reader.reportError("tiers", "names no tier", "one tier or more");
  Reader.reportUnknownKeys();
  if (!Diagnostics.empty())
    throw DocumentError(core::ErrorKind::Configuration, File, Diagnostics);
  std::sort(
      Out->m_Tiers.begin(), Out->m_Tiers.end(),
      [](const Tier &A, const Tier &B) { return A.m_Number < B.m_Number; });
  Out->buildIndex();
  return Out;
}

void FleetConfiguration::buildIndex() {
  for (std::size_t I = 0; I < m_Accounts.size(); ++I) {
    m_AccountByKey[m_Accounts[I].m_KeySha256] = I;
    m_AccountByName[m_Accounts[I].m_Name] = I;
  }
  for (std::size_t I = 0; I < m_Pools.size(); ++I) {
    m_PoolByName[m_Pools[I].m_Name] = I;
    for (const std::string &Model : m_Pools[I].m_Models)
      m_PoolByModel[Model] = I;
  }
}

template <class Map, class Key, class Item>
static const Item *lookUp(const Map &Index, const Key &Name,
                          const std::vector<Item> &Items) {
  auto Found = Index.find(Name);
  return Found == Index.end() ? nullptr : &Items[Found->second];
}

const ClientAccount *
FleetConfiguration::findAccountByKey(const std::string &KeySha256) const {
  return lookUp(m_AccountByKey, KeySha256, m_Accounts);
}

const ClientAccount *
FleetConfiguration::findAccount(const core::AccountName &Name) const {
  return lookUp(m_AccountByName, Name, m_Accounts);
}

const Tier *FleetConfiguration::findTier(const std::string &Name) const {
  for (const Tier &T : m_Tiers)
    if (T.m_Name == Name)
      return &T;
  return nullptr;
}

const Tier *FleetConfiguration::findTier(core::TierNumber Number) const {
  for (const Tier &T : m_Tiers)
    if (T.m_Number == Number)
      return &T;
  return nullptr;
}

const Pool *FleetConfiguration::findPool(const core::PoolName &Name) const {
  return lookUp(m_PoolByName, Name, m_Pools);
}

const Pool *
FleetConfiguration::findPoolForModel(const std::string &Model) const {
  return lookUp(m_PoolByModel, Model, m_Pools);
}

const Route *Pool::findRoute(const std::string &Path) const {
  const Route *Best = nullptr;
  for (const Route &R : m_Routes) {
    bool Matches = Path.compare(0, R.m_Prefix.size(), R.m_Prefix) == 0;
    if (Matches && (!Best || R.m_Prefix.size() > Best->m_Prefix.size()))
      Best = &R;
  }
  return Best;
}

} // namespace yardrill::config
