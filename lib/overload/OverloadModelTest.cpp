// Compares admission in the queue model with the bounds of docs/design/OVERLOAD.md.
#include "overload/OverloadModel.h"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::overload;
using namespace tamarack::overload::model;

namespace {

void
checkRequirements(Options aOptions)
{
  for (aOptions.m_seed = 1; aOptions.m_seed <= 3; ++aOptions.m_seed) {
    CAPTURE(aOptions.m_seed);
    Model model(aOptions);
    model.run();
    CHECK(model.answeredShare() >= 0.97);
    CHECK(model.usedShare() >= 0.95);
    // Feedback on old views could switch between all and nothing.
    const auto [lowest, highest] = std::ranges::minmax(model.m_lowShares);
    CHECK(lowest > 0.02);
    CHECK(highest < 1);
  }
}

} // namespace

TEST_CASE("half the requested capacity goes to the requests with the highest priority first")
{
  checkRequirements({});
}

TEST_CASE("half the requested capacity is used although hosts know only their own flows" *
          doctest::may_fail())
{
  checkRequirements({ .m_knowsQueues = false });
}

TEST_CASE("views that are 2 s old neither cost capacity nor requests of the highest priority")
{
  checkRequirements({ .m_reportDelay = Millis{ 1'000 } });
}

TEST_CASE("the loss of hosts, among them a reader, does not end the control of admission")
{
  checkRequirements({ .m_hostsLostAt = kLoss + Millis{ 5'000 } });
}

TEST_CASE("the loss of a data centre's reports costs no requests of the highest priority" *
          doctest::may_fail())
{
  checkRequirements({ .m_reportsLostAt = kLoss + Millis{ 5'000 } });
}

TEST_CASE("a data centre that is cut off costs neither side requests of the highest priority" *
          doctest::may_fail())
{
  checkRequirements({ .m_reportsLostAt = kLoss + Millis{ 5'000 }, .m_isCutOff = true });
}

TEST_CASE("nothing is refused while the capacity suffices")
{
  Model model({ .m_upstreamsAfter = kUpstreamsBefore });
  model.run();
  CHECK(model.m_overloads == 0);
  CHECK(std::ranges::min(model.m_lowShares) == 1);
}
