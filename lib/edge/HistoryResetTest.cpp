// Tests through whole hosts of what a load shows about upstreams after the store has contradicted
// the history of the records held, so that the load replaces records of all revisions.
#include "edge/HeartbeatFixture.h"

using namespace tamarack;
using namespace tamarack::edge;

namespace {

using steering::RegistrationState;

/// The entry of a process that started 15 s after upstream 1, at its address.
registry::UpstreamRecord
successorRecord()
{
  registry::UpstreamRecord record = HeartbeatFixture::record(1);
  record.m_identity = 7;
  record.m_startedAtMs = 16'000;
  return record;
}

/// Upstreams 1 and 6. The store publishes changes of entries only, and upstream 6 changes its entry
/// all the time.
class ResetFixture : public HeartbeatFixture
{
public:
  ResetFixture()
  {
    start(record(1));
    start(record(6));
    advance(Millis{ 4000 });
    publishChangesOnly(6);
  }

  /// Lets upstream 1 crash and start again as upstream 7.
  void restartUpstream()
  {
    crash(1);
    advance(Millis{ 2500 });
    start(successorRecord());
    advance(Millis{ 200 });
    REQUIRE(registration(record(1)) == RegistrationState::Ended);
    REQUIRE(registration(successorRecord()) == RegistrationState::Registered);
  }

  /// The store contradicts the history of the reader, which then loads the same records, except the
  /// entry of `aLostUpstream`.
  void reload(uint64_t aLostUpstream = 0)
  {
    registry::StoreUpdate update{ .m_revision = reader().registry().appliedRevision(),
                                  .m_isSnapshot = true };
    update.m_configuration = std::vector<registry::Change>{};
    for (const registry::Change& change : reader().registry().changesSince({}).m_changes) {
      if (change.m_key.m_kind != registry::RecordKind::Upstream) {
        update.m_configuration->push_back(change);
      } else if (change.m_key.m_name != nameOf(aLostUpstream)) {
        update.m_changes.push_back(change);
      }
    }
    reader().onStoreHistoryContradicted(0);
    reader().onStoreAnswer(m_now, update, false, m_now);
    REQUIRE(reader().isLoaded());
  }

  [[nodiscard]] const steering::Upstream& upstream(const registry::UpstreamRecord& aRecord)
  {
    const steering::Upstream* const upstream = reader().directory().findUpstream(
      steering::makeToken(aRecord.m_identity, aRecord.m_startedAtMs));
    REQUIRE(upstream != nullptr);
    return *upstream;
  }
  [[nodiscard]] RegistrationState registration(const registry::UpstreamRecord& aRecord)
  {
    return upstream(aRecord).m_registration;
  }

  /// Opens flows through the reader until upstream 7 has one; returns its caller.
  uint16_t openFlowOfSuccessor()
  {
    for (uint16_t caller = 300; caller < 360; ++caller) {
      if (openFlow(reader(), caller) == 7) {
        return caller;
      }
    }
    FAIL("no flow reached upstream 7");
    return 0;
  }
};

} // namespace

TEST_CASE("a load after a contradicted history does not bring back an upstream that was replaced")
{
  // Guards against requests that are forwarded to a process that has ended.
  ResetFixture fixture;
  fixture.restartUpstream();
  fixture.reload();
  CHECK(fixture.registration(HeartbeatFixture::record(1)) == RegistrationState::Ended);
  CHECK(fixture.registration(successorRecord()) == RegistrationState::Registered);
  CHECK(fixture.openFlowOfSuccessor() != 0);
}

TEST_CASE("loads after contradicted histories are no writes of a process that has ended")
{
  // Guards against an address that goes back to the process before a restart.
  ResetFixture fixture;
  fixture.restartUpstream();
  const uint16_t caller = fixture.openFlowOfSuccessor();
  // The successor is cut off from the store, and a late write of the former process arrives.
  fixture.crash(7);
  fixture.advance(Millis{ 3700 });
  REQUIRE(fixture.registration(successorRecord()) == RegistrationState::Missing);
  fixture.writeLate(HeartbeatFixture::record(1));
  fixture.advance(kTestTick);
  for (int load = 0; load < 3; ++load) {
    fixture.reload();
    fixture.advance(Millis{ 1100 });
  }
  CHECK(fixture.registration(successorRecord()) == RegistrationState::Missing);
  CHECK(fixture.sendRequest(fixture.reader(), caller));
  CHECK(fixture.resets().empty());
}

TEST_CASE("a load after a contradicted history shows no sign of life of an upstream that crashed")
{
  // Guards against a successor that gets no new flows because its predecessor seems to run.
  for (const bool isReloaded : { false, true }) {
    ResetFixture fixture;
    fixture.stopHeartbeats(1);
    fixture.advance(Millis{ 2500 });
    if (isReloaded) {
      fixture.reload();
    }
    fixture.start(successorRecord());
    fixture.advance(Millis{ 200 });
    CHECK(fixture.registration(HeartbeatFixture::record(1)) == RegistrationState::Ended);
  }
}

TEST_CASE("a draining upstream whose entry a contradicted history has lost is not taken for left")
{
  // Guards against resets by a load that replaces the records of another history.
  ResetFixture fixture;
  registry::UpstreamRecord draining = HeartbeatFixture::record(1);
  draining.m_state = registry::UpstreamState::Draining;
  REQUIRE(fixture.openFlow(fixture.reader(), 1) != 0);
  fixture.start(draining);
  fixture.advance(Millis{ 200 });
  fixture.reload(1);
  CHECK(fixture.registration(draining) == RegistrationState::Lapsed);
  fixture.advance(Millis{ 2600 });
  CHECK(fixture.registration(draining) == RegistrationState::Missing);
}
