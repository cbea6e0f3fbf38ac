// Tests of the simulator's adapter on valid and malformed input.
#include "drill/drill.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace tinspan::drill {
namespace {

struct AdapterRun {
  int status;
  std::string out;
  std::string err;
};

AdapterRun RunAdapterOn(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  const int status = RunAdapter(in, out, err);
  return {status, out.str(), err.str()};
}

const std::string kStart =
    "clock\t100.0\nat\t3\n"
    "power_on\t77\tareas=core,edge\tkinds=box,up,store\tzone=edge\tinstances=2\tme=0\tnew.key=x\t"
    "lanes.count=1\tlanes.0.name=page\tlanes.0.effect=repeatable\tlanes.0.promiseMs=250.0\t"
    "lanes.0.giveUpMs=3000.0\tlanes.0.credit=1.0\tfamilyInfo.midKind=1\tfamilyInfo.sourceKind=2\t"
    "familyInfo.siblings=location\tfamilyInfo.detail=all\tfamilyInfo.paceKbPerS=5000.0\t"
    "limits.maxAttempts=4\tlimits.cancel=true\tlimits.connectTimeoutMs=250.0\ttickMs=2.0\n"
    "define_list\t0\t3\n"
    "row\t10.0.0.1:80\t-\ton\t0\tbox\t-\tedge\n"
    "row\t10.0.0.2:80\t-\ton\t0\tup\t-\tcore\n"
    "row\t10.0.0.3:80\t-\ton\t0\tstore\t0\tcore\n"
    "roster_change\tstale_copy\t0\t41\ncommit\n";
const std::string kRequest =
    "clock\t101.5\nat\t3\nreq\t4503599627370495\t2500.25\t0\tpage\t11\t640\t-\t-\t91f03b7c55d20a64\n"
    "commit\n";

TEST(Drill, ForwardsARequestAndTakesItsResult) {
  const AdapterRun run = RunAdapterOn("clock\t99.0\ncommit\n" + kStart + kRequest +
                                      "clock\t160.0\nat\t3\nresult\t4503599627370495\t0\t10.0.0.1:80\tpass\t"
                                      "58.5\t1\t2\t9.4\tinflight:3,x0:0.7\ncommit\n");
  EXPECT_EQ(run.status, 0) << run.err;
  EXPECT_TRUE(run.err.empty());
  EXPECT_EQ(run.out.substr(0, 10), "done\ndone\n");
  EXPECT_NE(run.out.find("for\t3\n"), std::string::npos);
  EXPECT_NE(run.out.find("read_through\t4503599627370495\t10.0.0.1:80\t0.000\t2599.750\t1\t10.0.0.2:80\t0\n"),
            std::string::npos)
      << run.out;
  EXPECT_EQ(run.out.substr(run.out.size() - 10), "done\ndone\n");
}

TEST(Drill, IgnoresProbesAndMessagesAndHaltsAnInstance) {
  const AdapterRun run =
      RunAdapterOn(kStart + "clock\t102\nat\t3\nmail\t1\taGkgNw==\nping_result\t10.0.0.1:80\t" +
                   "pass\t1\t-\nhalt\ncommit\n");
  EXPECT_EQ(run.status, 0) << run.err;
}

TEST(Drill, WritesDieWhereTheModuleThrows) {
  std::string start = kStart;
  start.replace(start.find("limits.maxAttempts=4"), 20, "limits.maxAttempts=0");
  start.erase(start.find("define_list"));
  const AdapterRun run = RunAdapterOn(start + "commit\n");
  EXPECT_EQ(run.status, 0);
  EXPECT_NE(run.out.find("for\t3\ndie\t"), std::string::npos);
}

TEST(Drill, RejectsMalformedInputAndNamesTheField) {
  const auto expect_rejected = [](const std::string& batch, const std::string& expected_text) {
    const AdapterRun run = RunAdapterOn(kStart + batch);
    EXPECT_EQ(run.status, 2) << batch;
    EXPECT_NE(run.err.find(expected_text), std::string::npos) << run.err << "wanted: " << expected_text;
  };
  const std::string head = "clock\t101\nat\t3\n";
  expect_rejected("tick\t101\n", "line 10: message: expected clock");
  expect_rejected("clock\tsoon\n", "line 10: clock: expected a number");
  expect_rejected("clock\t101x\n", "clock: expected a number");
  expect_rejected("clock\tinf\n", "clock: expected a finite number");
  expect_rejected("clock\t101\nring\t1\ncommit\n", "an instance named by 'at'");
  expect_rejected("clock\t101\nat\t4\nring\t1\ncommit\n", "an instance that has been started");
  expect_rejected(head + "rung\t1\ncommit\n", "a known event, not 'rung'");
  expect_rejected(head + "ring\t-1\ncommit\n", "ref: expected a whole number");
  expect_rejected(head + "ring\n", "ref: expected a value, but the line ends");
  expect_rejected(head + "ring\t1\t2\n", "end of line: expected no further value");
  expect_rejected(head + "roster_change\tpatch\t7\t1\n", "setId: expected a list that was defined");
  expect_rejected(head + "roster_change\tpatch\t16\t1\n", "setId: expected a list");
  expect_rejected(head + "define_list\t0\t1\nring\t1\n", "message: expected row");
  expect_rejected(head + "define_list\t0\t1\nrow\t10.0.0.1:80\t1\tup\t0\tbox\t-\tedge\n",
                  "availability: expected one of on");
  expect_rejected(head + "req\t1\t100\t0\tvideo\t1\t1\t0\t-\t91f03b7c55d20a64\n",
                  "tierClass: expected a name");
  expect_rejected(head + "req\t1\t100\t0\tpage\t1\t1\t0\t-\t91f03b7c\n", "resource: expected 16 hex digits");
  expect_rejected(head + "result\t1\t0\t10.0.0.1:80\tgood\t1\t1\t0\t-\t-\n", "disposition: expected one of");
  expect_rejected(head + "result\t1\t0\t10.0.0.1:80\tpass\t1\t2\t0\t-\t-\n", "closed: expected 1 or 0");
  expect_rejected(head + "result\t1\t0\t10.0.0.1:80\tpass\t1\t1\t11\t-\t-\n", "detail: expected a note");
  expect_rejected(head + "result\t1\t0\t10.0.0.1:80\tpass\t1\t1\t1\t-\tx0\n", "stats: expected name:value");
  expect_rejected(head + "ring\t1\n", "the input ends");
}

}  // namespace
}  // namespace tinspan::drill
