//===-- YamlReader.h - Checked reading of a YAML mapping ------------------===//
#ifndef YARDRILL_LIBCONFIG_YAMLREADER_H
#define YARDRILL_LIBCONFIG_YAMLREADER_H

#include "LibConfig/Diagnostic.h"
#include "LibConfig/Endpoint.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace yardrill::config {

struct IntegerRange {
  std::int64_t m_Min;
  std::int64_t m_Max;
};

/// Reads one mapping key by key; collects faults instead of stopping at the
/// first. Keys that nobody asked for are faults (see finish()).
class YamlReader {
public:
  YamlReader(const YAML::Node &Node, std::string Path,
             std::vector<Diagnostic> &Diagnostics);

  /// \throws DocumentError when \p Text is not YAML at all.
  static YAML::Node load(const std::string &Text, const std::string &File,
                         core::ErrorKind Kind);

  bool has(const std::string &Key);
  /// Without a \p Default the key is required.
  std::string
  readString(const std::string &Key,
             const std::optional<std::string> &Default = std::nullopt);
  std::int64_t readInteger(const std::string &Key, IntegerRange Range,
                           std::optional<std::int64_t> Default = std::nullopt);
  double readNumber(const std::string &Key, double Min, double Max,
                    double Default);
  bool readBoolean(const std::string &Key, bool Default);
  Endpoint readEndpoint(const std::string &Key,
                        const std::optional<Endpoint> &Default = std::nullopt);
  /// A count of milliseconds; \p Key ends in `_ms`.
  core::Duration readMilliseconds(const std::string &Key, IntegerRange Range,
                                  std::optional<std::int64_t> Default);
  std::string
  readChoice(const std::string &Key, const std::vector<std::string> &Allowed,
             const std::optional<std::string> &Default = std::nullopt);
  std::vector<std::string> readStrings(const std::string &Key);
  std::vector<Endpoint> readEndpoints(const std::string &Key);
  /// Calls \p Read for the mapping under \p Key; an absent one reads as empty.
  void readSection(const std::string &Key,
                   const std::function<void(YamlReader &)> &Read);
  /// Calls \p Read for each mapping of the list under \p Key.
  void readList(const std::string &Key,
                const std::function<void(YamlReader &)> &Read);

  /// Reports a fault at \p Key, as the caller's own check of a value.
  void reportError(const std::string &Key, const std::string &Problem,
                   const std::string &Allowed);
  /// Reports the keys that were never asked for.
  void reportUnknownKeys();

private:
  /// YAML wants unique keys (YAML 1.2, section 3.2.1.3); the library takes
  /// repeated ones without a word.
  void reportDuplicateKeys();
  YAML::Node readNode(const std::string &Key);
  std::optional<std::string> readScalar(const std::string &Key, bool IsRequired,
                                        const std::string &Allowed);
  std::string pathOf(const std::string &Key) const;

  YAML::Node m_Node;
  std::string m_Path;
  std::vector<Diagnostic> &m_Diagnostics;
  std::set<std::string> m_ReadKeys;
};

} // namespace yardrill::config

#endif
