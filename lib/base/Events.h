// Numbered events of the programs. The decision code returns events as data, and the programs write
// them to the log. docs/EVENTS.md lists all events; CatalogueTest checks that it matches this list.
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace tamarack {

/// Event numbers are stable across releases; the number of a removed event is not reused. Each
/// enumerator corresponds to the event name in eventTable, which also describes the event.
enum class EventId : uint16_t
{
  ProcessStarted = 100,
  ProcessStopping = 101,
  SettingsReloaded = 110,
  SettingsRefused = 111,
  MessageFailed = 112,
  SettingsAccepted = 200,
  SubtreeRefused = 201,
  SettingsSourceFailed = 202,
  StoreLost = 210,
  StoreRegained = 211,
  StoreHistoryLost = 212,
  RecordsLoaded = 213,
  RecordRefused = 214,
  ConfigurationInForce = 215,
  ReadingStarted = 216,
  ReadingStopped = 217,
  ViewStale = 218,
  ViewFresh = 219,
  RecordsReceived = 220,
  TransferFailed = 221,
  FirstReading = 222,
  StoreHistoryChanged = 223,
  HistoryContradicted = 224,
  HostHeard = 300,
  HostLost = 301,
  HostLeaving = 302,
  DecisionsHeld = 303,
  DecisionsResumed = 304,
  HostWithdrawn = 305,
  HostReturned = 306,
  MapAdopted = 400,
  DecidingStarted = 401,
  MovePrepared = 402,
  MoveStarted = 403,
  MoveSettled = 404,
  OwnerReplaced = 405,
  PinTableFull = 406,
  UpstreamCold = 500,
  UpstreamWarm = 501,
  UpstreamLost = 502,
  UpstreamDraining = 503,
  AdmissionMetered = 504,
  UpstreamBusy = 505,
  UpstreamRegistered = 510,
  UpstreamLapsed = 511,
  UpstreamMissing = 512,
  UpstreamEnded = 513,
  UpstreamAvoided = 514,
  UpstreamAnswers = 515,
  TokenCollision = 516,
  UpstreamSlow = 517,
  AnswerSlow = 518,
  UpstreamRefuses = 519,
  AddressConflict = 520,
  DataCentreOut = 600,
  DataCentreBack = 601,
  DataCentreLost = 602,
  DataCentreReached = 603,
  OverloadStarted = 610,
  OverloadEnded = 611,
  FlowOpened = 700,
  FlowOpenedAgain = 701,
  FlowRefused = 702,
  FlowReset = 703,
  FlowDropped = 704,
  LinesOmitted = 705,
};

/// Number, name and description of one event.
struct EventRow
{
  EventId m_id;
  std::string_view m_name;
  std::string_view m_meaning;
};

/// All events, ordered by number.
[[nodiscard]] std::span<const EventRow>
eventTable();

/// Returns the name of an event as log lines show it, or "unknown" if the number is not in the
/// table.
[[nodiscard]] std::string_view
eventName(EventId aId);

/// One occurrence of an event, with a text that states the details and the cause.
struct Event
{
  TimePoint m_at;
  EventId m_id;
  std::string m_text;
};

} // namespace tamarack
