// Sequences of the events that tell hosts about the lifetime of an upstream, and which events may
// follow each other. A sequence is written as the letter of each event with the time in tenths of a
// second that passes after it, for example "k13 s23 w40".
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

namespace tamarack::edge {

/// Events of the upstream under test, of the processes before and after it, and of the store.
enum class LifetimeEvent : char
{
  Crash = 'k',
  /// A process starts under the name and at the address of the former one.
  Restart = 's',
  /// A process of the same service starts at the address of the former one.
  Succeed = 'n',
  /// A process starts under the name of the former one, at another address.
  Move = 'm',
  /// A process of another service starts at the address of the former one.
  ReuseAddress = 'o',
  /// A write of the process that ended last reaches the store.
  WriteLate = 'w',
  Drain = 'd',
  Leave = 'l',
  LoseStore = 'c',
  ReachStore = 'C',
  StoreDown = 'u',
  StoreUp = 'U',
  /// The store answers again, and the follower gets its records from a host that started since.
  StoreUpSnapshot = 'h',
  /// The store is restored from a backup.
  RestoreStore = 'b',
  /// An idle caller of the follower gets a response.
  Answer = 'a',
  /// Responses are late, so that callers repeat their requests.
  AnswerLate = 'r',
  /// The upstream has no room for new flows, and does not answer their SYNs.
  Full = 'f',
  /// The links of the upstream lose all packets.
  LoseLinks = 'x',
  /// Hosts of another data centre report the upstream.
  Report = 'p',
  /// The follower misses the changes of the records.
  MissRecords = 't',
};

struct LifetimeStep
{
  LifetimeEvent m_event;
  Millis m_gap{};

  friend bool operator==(const LifetimeStep&, const LifetimeStep&) = default;
};

using LifetimeSequence = std::vector<LifetimeStep>;

inline std::string
formatSequence(const LifetimeSequence& aSequence)
{
  std::string text;
  for (const LifetimeStep& step : aSequence) {
    text += (text.empty() ? "" : " ") + std::string(1, static_cast<char>(step.m_event)) +
            std::to_string(step.m_gap / Millis{ 100 });
  }
  return text;
}

inline LifetimeSequence
parseSequence(const std::string& aText)
{
  LifetimeSequence sequence;
  std::istringstream input(aText);
  for (std::string word; input >> word;) {
    sequence.push_back(
      { static_cast<LifetimeEvent>(word[0]), Millis{ 100 } * std::stoll(word.substr(1)) });
  }
  return sequence;
}

/// Decides which events can happen next.
class LifetimeRules
{
public:
  [[nodiscard]] bool allows(LifetimeEvent aEvent) const
  {
    const Millis sinceEnd = m_now - m_endedAt;
    switch (aEvent) {
      case LifetimeEvent::Crash:
        return m_lives;
      case LifetimeEvent::Restart:
      case LifetimeEvent::Move:
        return !m_lives;
      case LifetimeEvent::Succeed:
        return !m_lives && (!m_isOtherService || sinceEnd >= kReuseDelay);
      case LifetimeEvent::ReuseAddress:
        return !m_lives && !m_isOtherService && sinceEnd >= kReuseDelay;
      case LifetimeEvent::WriteLate:
        return m_hasEnded && m_isStoreUp && sinceEnd >= kMinWriteDelay &&
               sinceEnd <= kMaxWriteDelay;
      case LifetimeEvent::Drain:
        return isServing() && !m_drains && m_reachesStore && m_isStoreUp;
      case LifetimeEvent::Leave:
        return m_lives && m_drains && m_isStoreUp;
      case LifetimeEvent::LoseStore:
        // A draining upstream that does not reach the store may be taken for left.
        return isServing() && m_reachesStore && !m_drains;
      case LifetimeEvent::ReachStore:
        return m_lives && !m_reachesStore;
      case LifetimeEvent::StoreDown:
        return m_isStoreUp;
      case LifetimeEvent::StoreUp:
      case LifetimeEvent::StoreUpSnapshot:
        return !m_isStoreUp;
      case LifetimeEvent::RestoreStore:
        return m_isStoreUp && !m_wasRestored;
      case LifetimeEvent::MissRecords:
        return m_isStoreUp;
      default:
        return isServing();
    }
  }

  void apply(const LifetimeStep& aStep)
  {
    switch (aStep.m_event) {
      case LifetimeEvent::Crash:
      case LifetimeEvent::Leave:
        m_lives = false;
        m_hasEnded = true;
        m_endedAt = m_now;
        break;
      case LifetimeEvent::Restart:
      case LifetimeEvent::Succeed:
      case LifetimeEvent::Move:
      case LifetimeEvent::ReuseAddress:
        m_lives = true;
        m_drains = false;
        m_reachesStore = true;
        m_isOtherService = aStep.m_event == LifetimeEvent::ReuseAddress ||
                           (m_isOtherService && aStep.m_event != LifetimeEvent::Succeed);
        break;
      case LifetimeEvent::Drain:
        m_drains = true;
        break;
      case LifetimeEvent::LoseStore:
      case LifetimeEvent::ReachStore:
        m_reachesStore = aStep.m_event == LifetimeEvent::ReachStore;
        break;
      case LifetimeEvent::StoreDown:
        m_isStoreUp = false;
        break;
      case LifetimeEvent::StoreUp:
      case LifetimeEvent::StoreUpSnapshot:
        m_isStoreUp = true;
        break;
      case LifetimeEvent::RestoreStore:
        m_wasRestored = true;
        break;
      default:
        break;
    }
    m_now += aStep.m_gap;
  }

private:
  static constexpr Millis kReuseDelay{ 2000 };
  static constexpr Millis kMinWriteDelay{ 1000 };
  static constexpr Millis kMaxWriteDelay{ 6000 };

  [[nodiscard]] bool isServing() const { return m_lives && !m_isOtherService; }

  Millis m_now{};
  Millis m_endedAt{};
  bool m_lives{ true };
  bool m_hasEnded{};
  bool m_drains{};
  bool m_reachesStore{ true };
  bool m_isOtherService{};
  bool m_isStoreUp{ true };
  bool m_wasRestored{};
};

inline bool
isPossible(const LifetimeSequence& aSequence)
{
  LifetimeRules rules;
  return std::ranges::all_of(aSequence, [&rules](const LifetimeStep& aStep) {
    const bool isAllowed = rules.allows(aStep.m_event);
    rules.apply(aStep);
    return isAllowed;
  });
}

} // namespace tamarack::edge
