#include "LibConfig/FleetConfiguration.h"

#include "LibConfig/YamlReader.h"
#include "LibCore/Digest.h"

#include <algorithm>
#include <cctype>

namespace yardrill::config {

static const IntegerRange TierNumbers{1, 16};
static const IntegerRange Counts{1, 1'000'000};
static const IntegerRange CountsFromNone{0, 1'000'000};
static const IntegerRange Deadlines{1, 86'400'000};
static const std::size_t Sha256HexDigits = 64;
static const std::size_t MostNameBytes = 64;

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

/// Names stand in keys, paths, metrics and logs, so they are kept plain.
static std::string readName(YamlReader &Reader) {
  std::string Name = Reader.text("name");
  bool IsPlain = !Name.empty() && Name.size() <= MostNameBytes;
  for (char C : Name)
    IsPlain = IsPlain && (std::isalnum(static_cast<unsigned char>(C)) ||
                          C == '-' || C == '_' || C == '.');
  if (!IsPlain)
    Reader.fault("name", "is \"" + Name + "\"",
                 "1 to 64 letters, digits, '-', '_' and '.'");
  return Name;
}

static Tier readTier(YamlReader &Reader) {
  Tier Out;
  Out.m_Name = readName(Reader);
  Out.m_Number = core::TierNumber(
      static_cast<std::uint32_t>(Reader.integer("tier", TierNumbers)));
  Out.m_Deadline = Reader.milliseconds("deadline_ms", Deadlines, 30000);
  return Out;
}

static ClientAccount readAccount(YamlReader &Reader,
                                 const std::vector<Tier> &Tiers) {
  ClientAccount Out;
  Out.m_Name = core::AccountName(readName(Reader));
  Out.m_KeySha256 = Reader.text("key_sha256");
  bool IsHex = core::fromHex(Out.m_KeySha256).size() * 2 == Sha256HexDigits;
  if (!IsHex)
    Reader.fault("key_sha256", "is no SHA-256", "64 hex digits");
  Out.m_DefaultTier = Reader.text("default_tier");
  Out.m_Tiers = Reader.texts("tiers");
  Out.m_Tiers.push_back(Out.m_DefaultTier);
  Out.m_Weight = Reader.number("weight", 0.001, 1000, 1);
  Out.m_OpenRequests =
      static_cast<std::size_t>(Reader.integer("open_requests", Counts, 10000));
  for (const std::string &Name : Out.m_Tiers) {
    bool IsKnown = std::any_of(Tiers.begin(), Tiers.end(),
                               [&](const Tier &T) { return T.m_Name == Name; });
    if (!IsKnown)
      Reader.fault("default_tier", "or tiers names \"" + Name + "\"",
                   "a name from the list of tiers");
  }
  return Out;
}

static Target readTarget(YamlReader &Reader) {
  Target Out;
  Out.m_Name = core::TargetName(readName(Reader));
  Out.m_Address = Reader.endpoint("address");
  Out.m_DataHall = core::DataHallName(Reader.text("data_hall"));
  Out.m_Slots = static_cast<std::size_t>(Reader.integer("places", Counts, 8));
  Out.m_IsLeaving = Reader.boolean("leaving", false);
  return Out;
}

static Route readRoute(YamlReader &Reader) {
  Route Out;
  Out.m_Prefix = Reader.text("prefix");
  if (Out.m_Prefix.empty() || Out.m_Prefix.front() != '/')
    Reader.fault("prefix", "is \"" + Out.m_Prefix + "\"",
                 "a path that starts with /");
  Out.m_IsRepeatable = Reader.boolean("repeatable", true);
  return Out;
}

static Pool readPool(YamlReader &Reader) {
  Pool Out;
  Out.m_Name = core::PoolName(readName(Reader));
  Out.m_Kind = Reader.choice("kind", {"model", "application"}) == "model"
                   ? PoolKind::Model
                   : PoolKind::Application;
  Out.m_Models = Reader.texts("models");
  Out.m_QueueLimit =
      static_cast<std::size_t>(Reader.integer("queue_limit", Counts, 1000));
  Out.m_ReservedSlots = static_cast<std::size_t>(
      Reader.integer("kept_places", CountsFromNone, 0));
  Out.m_PrefillWeight = Reader.number("prefill_weight", 0, 1000, 25);
  Reader.list("routes",
              [&](YamlReader &R) { Out.m_Routes.push_back(readRoute(R)); });
  Reader.list("targets",
              [&](YamlReader &R) { Out.m_Targets.push_back(readTarget(R)); });
  if (Out.m_Kind == PoolKind::Model && Out.m_Models.empty())
    Reader.fault("models", "names no model", "one model or more");
  if (Out.m_Kind == PoolKind::Application && !Out.m_Models.empty())
    Reader.fault("models", "stands in an application pool", "nothing");
  for (const Target &T : Out.m_Targets)
    if (T.m_Slots <= Out.m_ReservedSlots)
      Reader.fault("kept_places", "leaves no place at " + T.m_Name.value(),
                   "fewer than each target's places");
  return Out;
}

/// Reports \p Name unless it is the first of its kind.
template <class Map, class Key>
static void claimName(Map &Seen, const Key &Name, std::size_t Index,
                      YamlReader &Reader, const char *Field) {
  if (!Seen.emplace(Name, Index).second)
    Reader.fault(Field, "stands twice", "each name once");
}

std::shared_ptr<const FleetConfiguration>
FleetConfiguration::parse(const std::string &Text, const std::string &File,
                          core::ConfigurationVersion Version) {
  YAML::Node Root =
      YamlReader::load(Text, File, core::ErrorKind::Configuration);
  std::vector<Fault> Faults;
  std::shared_ptr<FleetConfiguration> Out(new FleetConfiguration());
  Out->m_Version = Version;
  Out->m_Text = Text;
  Out->m_Digest = core::stableHash(Text);
  YamlReader Reader(Root, "", Faults);
  std::unordered_map<std::string, std::size_t> Names;
  std::unordered_map<std::uint32_t, std::size_t> Numbers;
  Reader.list("tiers", [&](YamlReader &R) {
    Out->m_Tiers.push_back(readTier(R));
    claimName(Names, Out->m_Tiers.back().m_Name, 0, R, "name");
    claimName(Numbers, Out->m_Tiers.back().m_Number.value(), 0, R, "tier");
  });
  Reader.list("client_accounts", [&](YamlReader &R) {
    Out->m_Accounts.push_back(readAccount(R, Out->m_Tiers));
    const ClientAccount &Last = Out->m_Accounts.back();
    claimName(Out->m_AccountByName, Last.m_Name, 0, R, "name");
    claimName(Out->m_AccountByKey, Last.m_KeySha256, 0, R, "key_sha256");
  });
  std::unordered_map<core::TargetName, std::size_t> TargetNames;
  Reader.list("pools", [&](YamlReader &R) {
    Out->m_Pools.push_back(readPool(R));
    const Pool &Last = Out->m_Pools.back();
    claimName(Out->m_PoolByName, Last.m_Name, 0, R, "name");
    for (const std::string &Model : Last.m_Models)
      claimName(Out->m_PoolByModel, Model, 0, R, "models");
    for (const Target &T : Last.m_Targets)
      claimName(TargetNames, T.m_Name, 0, R, "targets");
  });
  Out->m_Policy = Reader.text("policy", "");
  if (Out->m_Tiers.empty())
    Reader.fault("tiers", "names no tier", "one tier or more");
  Reader.finish();
  if (!Faults.empty())
    throw FaultyDocument(core::ErrorKind::Configuration, File, Faults);
  std::sort(
      Out->m_Tiers.begin(), Out->m_Tiers.end(),
      [](const Tier &A, const Tier &B) { return A.m_Number < B.m_Number; });
  Out->index();
  return Out;
}

void FleetConfiguration::index() {
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
