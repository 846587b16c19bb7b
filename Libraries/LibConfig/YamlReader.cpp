#include "LibConfig/YamlReader.h"

#include <charconv>

namespace yardrill::config {

YamlReader::YamlReader(const YAML::Node &Node, std::string Path,
                       std::vector<Diagnostic> &Diagnostics)
    : m_Node(Node), m_Path(std::move(Path)), m_Diagnostics(Diagnostics) {
  if (m_Node.IsDefined() && !m_Node.IsNull() && !m_Node.IsMap())
    m_Diagnostics.push_back({m_Node.Mark().line + 1, m_Path, "is not a mapping",
                             "key: value pairs"});
  reportDuplicateKeys();
}

void YamlReader::reportDuplicateKeys() {
  if (!m_Node.IsDefined() || !m_Node.IsMap())
    return;
  std::set<std::string> Seen;
  for (const auto &Each : m_Node)
    if (Each.first.IsScalar() && !Seen.insert(Each.first.Scalar()).second)
      m_Diagnostics.push_back({Each.first.Mark().line + 1,
                               pathOf(Each.first.Scalar()), "is given twice",
                               "each key once"});
}

YAML::Node YamlReader::load(const std::string &Text, const std::string &File,
                            core::ErrorKind Kind) {
  try {
    return YAML::Load(Text);
  } catch (const YAML::Exception &Failure) {
    throw DocumentError(
        Kind, File,
        {{Failure.mark.line + 1, "document", Failure.msg, "YAML 1.2"}});
  }
}

std::string YamlReader::pathOf(const std::string &Key) const {
  return m_Path.empty() ? Key : m_Path + "." + Key;
}

YAML::Node YamlReader::readNode(const std::string &Key) {
  m_ReadKeys.insert(Key);
  if (!m_Node.IsDefined() || !m_Node.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  const YAML::Node &ConstNode = m_Node;
  return ConstNode[Key];
}

bool YamlReader::has(const std::string &Key) {
  return readNode(Key).IsDefined();
}

void YamlReader::reportError(const std::string &Key, const std::string &Problem,
                             const std::string &Allowed) {
  YAML::Node Node = readNode(Key);
  int Line = 0;
  if (Node.IsDefined())
    Line = Node.Mark().line + 1;
  else if (m_Node.IsDefined())
    Line = m_Node.Mark().line + 1;
  m_Diagnostics.push_back({Line, pathOf(Key), Problem, Allowed});
}

std::optional<std::string> YamlReader::readScalar(const std::string &Key,
                                                  bool IsRequired,
                                                  const std::string &Allowed) {
  YAML::Node Node = readNode(Key);
  if (!Node.IsDefined() || Node.IsNull()) {
    if (IsRequired)
      reportError(Key, "is missing", Allowed);
    return std::nullopt;
  }
  if (!Node.IsScalar()) {
    reportError(Key, "is not a single value", Allowed);
    return std::nullopt;
  }
  return Node.Scalar();
}

std::string YamlReader::readString(const std::string &Key,
                                   const std::optional<std::string> &Default) {
  auto Value = readScalar(Key, !Default, "a string");
  return Value ? *Value : Default.value_or("");
}

std::int64_t YamlReader::readInteger(const std::string &Key, IntegerRange Range,
                                     std::optional<std::int64_t> Default) {
  std::string Allowed = "an integer from " + std::to_string(Range.m_Min) +
                        " to " + std::to_string(Range.m_Max);
  auto Value = readScalar(Key, !Default, Allowed);
  if (!Value)
    return Default.value_or(Range.m_Min);
  std::int64_t Number = 0;
  const char *End = Value->data() + Value->size();
  auto [Last, Code] = std::from_chars(Value->data(), End, Number);
  if (Code != std::errc() || Last != End || Number < Range.m_Min ||
      Number > Range.m_Max) {
    reportError(Key, "is \"" + *Value + "\"", Allowed);
    return Default.value_or(Range.m_Min);
  }
  return Number;
}

double YamlReader::readNumber(const std::string &Key, double Min, double Max,
                              double Default) {
  std::string Allowed =
      "a number from " + std::to_string(Min) + " to " + std::to_string(Max);
  auto Value = readScalar(Key, false, Allowed);
  if (!Value)
    return Default;
  try {
    double Number = YAML::Node(*Value).as<double>();
    if (Number >= Min && Number <= Max)
      return Number;
  } catch (const YAML::Exception &) {
    // Reported below, with the accepted range.
  }
  reportError(Key, "is \"" + *Value + "\"", Allowed);
  return Default;
}

bool YamlReader::readBoolean(const std::string &Key, bool Default) {
  auto Value = readScalar(Key, false, "true or false");
  if (!Value || *Value == (Default ? "true" : "false"))
    return Default;
  if (*Value == (Default ? "false" : "true"))
    return !Default;
  reportError(Key, "is \"" + *Value + "\"", "true or false");
  return Default;
}

static const char EndpointFormat[] =
    "an IP address and a port, for example 127.0.0.1:8080";

Endpoint YamlReader::readEndpoint(const std::string &Key,
                                  const std::optional<Endpoint> &Default) {
  auto Value = readScalar(Key, !Default, EndpointFormat);
  if (!Value)
    return Default.value_or(Endpoint());
  auto Parsed = Endpoint::parse(*Value);
  if (Parsed)
    return *Parsed;
  reportError(Key, "is \"" + *Value + "\"", EndpointFormat);
  return Default.value_or(Endpoint());
}

core::Duration
YamlReader::readMilliseconds(const std::string &Key, IntegerRange Range,
                             std::optional<std::int64_t> Default) {
  return std::chrono::milliseconds(readInteger(Key, Range, Default));
}

std::string YamlReader::readChoice(const std::string &Key,
                                   const std::vector<std::string> &Allowed,
                                   const std::optional<std::string> &Default) {
  std::string AllowedText;
  for (const std::string &Word : Allowed)
    AllowedText += (AllowedText.empty() ? "" : ", ") + Word;
  auto Value = readScalar(Key, !Default, AllowedText);
  if (!Value)
    return Default.value_or(Allowed.front());
  for (const std::string &Word : Allowed)
    if (*Value == Word)
      return Word;
  reportError(Key, "is \"" + *Value + "\"", AllowedText);
  return Default.value_or(Allowed.front());
}

std::vector<std::string> YamlReader::readStrings(const std::string &Key) {
  std::vector<std::string> Values;
  YAML::Node Node = readNode(Key);
  if (!Node.IsDefined() || Node.IsNull())
    return Values;
  if (!Node.IsSequence()) {
    reportError(Key, "is not a list", "a list of strings");
    return Values;
  }
  for (const auto &Item : Node) {
    if (Item.IsScalar())
      Values.push_back(Item.Scalar());
    else
      reportError(Key, "has an element that is not a string",
                  "a list of strings");
  }
  return Values;
}

std::vector<Endpoint> YamlReader::readEndpoints(const std::string &Key) {
  std::vector<Endpoint> Values;
  for (const std::string &Text : readStrings(Key)) {
    auto Parsed = Endpoint::parse(Text);
    if (Parsed)
      Values.push_back(*Parsed);
    else
      reportError(Key, "has the element \"" + Text + "\"", EndpointFormat);
  }
  return Values;
}

void YamlReader::readSection(const std::string &Key,
                             const std::function<void(YamlReader &)> &Read) {
  YamlReader Reader(readNode(Key), pathOf(Key), m_Diagnostics);
  Read(Reader);
  Reader.reportUnknownKeys();
}

void YamlReader::readList(const std::string &Key,
                          const std::function<void(YamlReader &)> &Read) {
  YAML::Node Node = readNode(Key);
  if (!Node.IsDefined() || Node.IsNull())
    return;
  if (!Node.IsSequence()) {
    reportError(Key, "is not a list", "a list of mappings");
    return;
  }
  int Index = 0;
  for (const auto &Item : Node) {
    YamlReader Reader(Item, pathOf(Key) + "[" + std::to_string(Index++) + "]",
                      m_Diagnostics);
    Read(Reader);
    Reader.reportUnknownKeys();
  }
}

void YamlReader::reportUnknownKeys() {
  if (!m_Node.IsDefined() || !m_Node.IsMap())
    return;
  std::string Known;
  for (const std::string &Key : m_ReadKeys)
    Known += (Known.empty() ? "" : ", ") + Key;
  for (const auto &Pair : m_Node) {
    std::string Key = Pair.first.IsScalar() ? Pair.first.Scalar() : "?";
    if (m_ReadKeys.count(Key) == 0)
      m_Diagnostics.push_back({Pair.first.Mark().line + 1, pathOf(Key),
                               "is an unknown key", Known});
  }
}

} // namespace yardrill::config
