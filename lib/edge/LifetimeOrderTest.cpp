// Plays all orders of a few events of an upstream's lifetime before two hosts, and longer random
// ones: no open flow of a running upstream is reset, and callers of one that has ended are reset in
// time.
//
// TAMARACK_LIFETIME_SEQUENCE plays one sequence and prints what the hosts logged, and
// TAMARACK_LIFETIME_SEEDS plays that many random sequences.
#include "edge/LifetimeOrderModel.h"

#include <cstdlib>
#include <iostream>
#include <random>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

/// Number of events in each sequence of the exhaustive test.
constexpr size_t kExhaustiveEvents = 4;
/// The events of the exhaustive test.
constexpr std::string_view kExhaustiveAlphabet = "ksnowdlcrfuUhbt";
/// The times between events, in tenths of a second, that each order of events is played with.
constexpr std::array<std::array<int, 4>, 5> kGapPatterns{
  { { 3, 3, 3, 3 }, { 13, 13, 13, 13 }, { 23, 3, 23, 13 }, { 40, 13, 23, 40 }, { 13, 40, 3, 13 } }
};
constexpr Millis kExhaustiveSettleTime{ 3000 };

constexpr std::string_view kFullAlphabet = "ksnmowdlcCuUhbarfxpt";
constexpr uint64_t kRandomSeeds = 200;
constexpr size_t kMinRandomEvents = 12;
constexpr size_t kMaxRandomEvents = 20;
constexpr Millis kRandomSettleTime{ 12'000 };

struct KnownFailure
{
  LifetimeFault m_kind;
  /// Number of the entry in KNOWN-RED.txt.
  int m_entry;
  /// A shortest sequence that fails in this way.
  const char* m_sequence;
};

const std::vector<KnownFailure> kKnownFailures{
  { LifetimeFault::ResetOnReports, 22, "r2 p261" },
  { LifetimeFault::ResetOnReportsUnheard, 22, "p3 r3" },
  { LifetimeFault::ResetOfFormerToken, 23, "k3 u3 s3 U3" },
  { LifetimeFault::ResetAfterGracePeriod, 24, "c23 u3 U23 r13" },
  { LifetimeFault::ResetMissingUnheard, 24, "c26 r26" },
  { LifetimeFault::ResetUnknown, 25, "d24 l39 m64 k30 u20 m136 U18 k12 t2 s4 w59" },
  { LifetimeFault::WaitsForClaimant, 26, "k23 s3 k23 n13" },
};

std::string
eventsOf(const LifetimeSequence& aSequence)
{
  std::string events;
  for (const LifetimeStep& step : aSequence) {
    events += static_cast<char>(step.m_event);
  }
  return events;
}

LifetimeModel::Faults
knownFaults()
{
  LifetimeModel::Faults faults;
  for (const KnownFailure& known : kKnownFailures) {
    faults.insert(known.m_kind);
  }
  return faults;
}

struct Outcome
{
  std::string m_fault;
  LifetimeFault m_kind{};

  [[nodiscard]] bool isFault(LifetimeFault aKind) const
  {
    return !m_fault.empty() && m_kind == aKind;
  }
};

Outcome
play(const LifetimeSequence& aSequence,
     Millis aSettleTime,
     const LifetimeModel::Faults& aTolerated = {})
{
  LifetimeModel model(aTolerated);
  std::string fault = model.play(aSequence, aSettleTime);
  return { std::move(fault), model.faultKind() };
}

/// Plays a sequence and passes over the known kinds of faults but one. Returns the first fault.
std::string
faultOf(const std::string& aSequence, LifetimeFault aKind)
{
  LifetimeModel::Faults tolerated = knownFaults();
  tolerated.erase(aKind);
  return play(parseSequence(aSequence), kRandomSettleTime, tolerated).m_fault;
}

/// Leaves out events as long as the sequence fails in the same way; their time passes before.
LifetimeSequence
minimise(LifetimeSequence aSequence, Millis aSettleTime, LifetimeFault aKind)
{
  for (size_t index = 0; index < aSequence.size();) {
    LifetimeSequence shorter = aSequence;
    if (index > 0) {
      shorter[index - 1].m_gap += shorter[index].m_gap;
    }
    shorter.erase(shorter.begin() + static_cast<ptrdiff_t>(index));
    if (isPossible(shorter) && play(shorter, aSettleTime, knownFaults()).isFault(aKind)) {
      aSequence = std::move(shorter);
      index = 0;
    } else {
      ++index;
    }
  }
  return aSequence;
}

/// Plays a sequence and reports its shortest part that fails, once for each kind of fault and order
/// of events.
void
check(const LifetimeSequence& aSequence, Millis aSettleTime, std::set<std::string>& aReported)
{
  const Outcome outcome = play(aSequence, aSettleTime, knownFaults());
  if (outcome.m_fault.empty()) {
    return;
  }
  const LifetimeSequence shortest = minimise(aSequence, aSettleTime, outcome.m_kind);
  if (!aReported.insert(faultName(outcome.m_kind) + eventsOf(shortest)).second) {
    return;
  }
  FAIL_CHECK(formatSequence(shortest) << ": " << play(shortest, aSettleTime, knownFaults()).m_fault
                                      << " (played as " << formatSequence(aSequence) << ")");
}

/// Calls a function with each order of events that is possible with the gaps of a pattern.
template<typename Function>
void
forEachOrder(const std::array<int, 4>& aGaps, LifetimeSequence& aPrefix, const Function& aFunction)
{
  if (aPrefix.size() == kExhaustiveEvents) {
    aFunction(aPrefix);
    return;
  }
  for (const char event : kExhaustiveAlphabet) {
    aPrefix.push_back(
      { static_cast<LifetimeEvent>(event), Millis{ 100 } * aGaps.at(aPrefix.size()) });
    if (isPossible(aPrefix)) {
      forEachOrder(aGaps, aPrefix, aFunction);
    }
    aPrefix.pop_back();
  }
}

LifetimeSequence
randomSequence(uint64_t aSeed)
{
  // The distributions of the standard library differ between implementations.
  std::mt19937_64 random(aSeed);
  const size_t size = kMinRandomEvents + random() % (kMaxRandomEvents - kMinRandomEvents + 1);
  LifetimeSequence sequence;
  LifetimeRules rules;
  while (sequence.size() < size) {
    const LifetimeStep step{ static_cast<LifetimeEvent>(
                               kFullAlphabet[random() % kFullAlphabet.size()]),
                             Millis{ 100 } * static_cast<int64_t>(1 + random() % 45) };
    if (rules.allows(step.m_event)) {
      rules.apply(step);
      sequence.push_back(step);
    }
  }
  return sequence;
}

} // namespace

TEST_CASE("no order of events resets a flow of a running upstream or leaves one of an ended one")
{
  // Guards against verdicts that depend on the order in which a host hears of events.
  std::set<std::string> reported;
  size_t played = 0;
  for (const auto& gaps : kGapPatterns) {
    LifetimeSequence prefix;
    forEachOrder(gaps, prefix, [&](const LifetimeSequence& aSequence) {
      check(aSequence, kExhaustiveSettleTime, reported);
      ++played;
    });
  }
  MESSAGE(played << " sequences");
}

TEST_CASE("no random order of events resets a flow of a running upstream")
{
  const char* const seeds = std::getenv("TAMARACK_LIFETIME_SEEDS");
  std::set<std::string> reported;
  for (uint64_t seed = 1; seed <= (seeds != nullptr ? std::stoull(seeds) : kRandomSeeds); ++seed) {
    CAPTURE(seed);
    check(randomSequence(seed), kRandomSettleTime, reported);
  }
}

TEST_CASE("the sequences that are known to fail do so")
{
  // Guards against a list that hides failures after their cause is gone.
  for (const KnownFailure& known : kKnownFailures) {
    CAPTURE(std::string(known.m_sequence));
    const std::string fault = faultOf(known.m_sequence, known.m_kind);
    CAPTURE(fault);
    CHECK(fault.starts_with(faultName(known.m_kind)));
  }
}

// KNOWN-RED.txt, entry 23.
TEST_CASE("a flow that an upstream took after a restart is not reset when its new entry arrives" *
          doctest::may_fail())
{
  // The host forwarded the SYN to the name and address of the former process, with its token.
  for (const char* sequence : { "k3 u3 s3 U3", "u3 k3 s3 U3" }) {
    CAPTURE(std::string(sequence));
    CHECK(faultOf(sequence, LifetimeFault::ResetOfFormerToken) == "");
  }
}

TEST_CASE("reports of hosts elsewhere reset no flow of an upstream that is cut off from the store "
          "and answers here")
{
  // The reader gets a response every 400 ms.
  CHECK(faultOf("c39 p13", LifetimeFault::ResetOnReports) == "");
}

TEST_CASE("a late write that a restarted upstream cannot replace resets none of its flows")
{
  // The entry has expired, but the host has not heard of it, since the store is down or a status
  // was lost.
  for (const char* sequence : { "k13 s13 w1 c33 u30", "k13 s40 w1 c34 t12" }) {
    CAPTURE(std::string(sequence));
    CHECK(faultOf(sequence, LifetimeFault::ResetByHeldEntry) == "");
  }
}

// KNOWN-RED.txt, entry 26.
TEST_CASE(
  "requests to a process are reset once a successor has its address and the store publishes "
  "changes only" *
  doctest::may_fail())
{
  // Guards against callers that wait for the expiry of the entry.
  for (const char* sequence : { "k23 s3 k23 n13", "k23 n3 k23 o13" }) {
    CAPTURE(std::string(sequence));
    CHECK(faultOf(sequence, LifetimeFault::WaitsForClaimant) == "");
  }
}

TEST_CASE("a sequence of the environment")
{
  const char* const text = std::getenv("TAMARACK_LIFETIME_SEQUENCE");
  if (text == nullptr) {
    return;
  }
  LifetimeModel model;
  const std::string fault = model.play(parseSequence(text), kRandomSettleTime);
  for (const LogLine& line : model.hosts().logLines()) {
    if (line.m_event == EventId::FlowOpened) {
      continue;
    }
    std::cout << eventName(line.m_event) << ' ' << line.m_fields << '\n';
  }
  CHECK(fault == "");
}
