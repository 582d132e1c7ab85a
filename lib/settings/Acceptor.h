// Decides which settings are in force. The root and each team's subtree are accepted on their own:
// a bad part keeps its newest accepted form. Parts carry the revision they were accepted from, so
// that hosts which skipped revisions converge when they exchange accepted forms.
#pragma once

#include "settings/Document.h"

#include <map>

namespace tamarack::settings {

/// A part of the settings and the revision of the document that it came from.
struct AcceptedPart
{
  Revision m_revision{};
  Json m_value;

  friend bool operator==(const AcceptedPart&, const AcceptedPart&) = default;
};

/// Everything that is accepted, in the form in which hosts exchange it.
struct AcceptedForm
{
  /// The newest document that was read, accepted or not. It only rises.
  Revision m_revision{};
  AcceptedPart m_root;
  std::map<std::string, AcceptedPart, std::less<>> m_teams;
};

[[nodiscard]] Json
toJson(const AcceptedForm& aForm);

[[nodiscard]] absl::StatusOr<AcceptedForm>
acceptedFormFromJson(const Json& aJson);

/// What became of one offer.
struct AcceptOutcome
{
  /// The settings in force changed.
  bool m_changed{};
  std::vector<Fault> m_faults;
};

class Acceptor
{
public:
  /// Offers a document of the platform. Older revisions than the newest seen are ignored.
  AcceptOutcome offerDocument(Revision aRevision, std::string_view aText);

  /// Offers a peer's accepted form; of each part the newer revision wins.
  AcceptOutcome offerForm(const AcceptedForm& aForm);

  [[nodiscard]] const AcceptedForm& form() const { return m_form; }
  /// The settings in force; null before the first acceptance.
  [[nodiscard]] const SettingsPtr& settings() const { return m_settings; }

private:
  AcceptOutcome rebuild(std::vector<Fault> aFaults);

  AcceptedForm m_form;
  SettingsPtr m_settings;
};

} // namespace tamarack::settings
