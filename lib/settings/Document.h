// Validates a published settings document and converts its parts into typed settings. Validation is
// a pure function of the document: any two hosts that read the same text find the same errors.
#pragma once

#include "settings/Settings.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::settings {

using Json = nlohmann::json;

/// The limits of a document that parseDocument accepts.
inline constexpr size_t kMaxDocumentBytes = 1'000'000;
inline constexpr size_t kMaxNestingDepth = 12;

/// An error in a document.
struct ValidationError
{
  /// The JSON pointer of the invalid value, such as /teams/field/pools; empty for the document.
  std::string m_path;
  /// Continues the path to a sentence, as in "is missing".
  std::string m_message;
};

/// The root: the part of the document that operators own, which is everything but the teams'
/// subtrees.
struct RootSettings
{
  /// The seed of the flow hash; the same on all hosts.
  uint64_t m_seed{};
  std::map<std::string, DataCentre, std::less<>> m_dataCentres;
  /// What a team may use.
  struct Grant
  {
    /// The addresses that the team's services may have.
    std::vector<Ipv4> m_serviceAddresses;
    /// The networks in which the addresses of the team's upstreams must lie.
    std::vector<Ipv4Network> m_upstreamNetworks;
  };
  /// By team name. The grants of two teams are disjoint in addresses and in networks.
  std::map<std::string, Grant, std::less<>> m_grants;
};

/// Parses text as a JSON object. Rejects text that exceeds kMaxDocumentBytes or kMaxNestingDepth or
/// that has a duplicate key in an object.
[[nodiscard]] absl::StatusOr<Json>
parseDocument(std::string_view aText);

/// Reads and validates the root. Errors are appended to `aErrors`.
[[nodiscard]] RootSettings
readRootSettings(const Json& aDocument, std::vector<ValidationError>& aErrors);

/// Reads one team's subtree and validates it, also against the grants and data centres of the root.
/// Errors are appended to `aErrors`.
[[nodiscard]] std::vector<Service>
readTeamSubtree(const RootSettings& aRoot,
                std::string_view aTeam,
                const Json& aSubtree,
                std::vector<ValidationError>& aErrors);

} // namespace tamarack::settings
