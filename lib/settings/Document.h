// Checks a published settings document and turns its parts into typed settings. The check is a pure
// function of the document: two hosts that read the same text find the same faults.
#pragma once

#include "settings/Settings.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::settings {

using Json = nlohmann::json;

inline constexpr size_t kMaxDocumentBytes = 1'000'000;
inline constexpr size_t kMaxNesting = 12;

/// One thing that is wrong, with the JSON pointer of where.
struct Fault
{
  std::string m_path;
  std::string m_text;
};

/// The part of the document that operators own.
struct Root
{
  uint64_t m_seed{};
  std::map<std::string, DataCentre, std::less<>> m_dataCentres;
  struct Grant
  {
    std::vector<Ipv4> m_addresses;
    std::vector<Ipv4Network> m_networks;
  };
  /// Addresses and networks of two teams never overlap.
  std::map<std::string, Grant, std::less<>> m_grants;
};

/// Reads text into JSON; refuses text that is too long, nested too deeply or has duplicate keys.
[[nodiscard]] absl::StatusOr<Json>
parseDocument(std::string_view aText);

/// Reads everything but the teams' subtrees. Faults are added to `aFaults`.
[[nodiscard]] Root
readRoot(const Json& aDocument, std::vector<Fault>& aFaults);

/// Reads one team's subtree against the root. Faults are added to `aFaults`.
[[nodiscard]] std::vector<Service>
readTeam(const Root& aRoot,
         std::string_view aTeam,
         const Json& aSubtree,
         std::vector<Fault>& aFaults);

} // namespace tamarack::settings
