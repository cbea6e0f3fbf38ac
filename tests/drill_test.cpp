// The adapter by transcripts, good and malformed.
#include "drill/drill.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace tinspan::drill {
namespace {

struct Played {
  int status;
  std::string out;
  std::string err;
};

Played PlayText(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  const int status = Play(in, out, err);
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

TEST(Drill, PlaysARequestToItsAnswer) {
  const Played played = PlayText("clock\t99.0\ncommit\n" + kStart + kRequest +
                                 "clock\t160.0\nat\t3\nresult\t4503599627370495\t0\t10.0.0.1:80\tpass\t"
                                 "58.5\t1\t2\t9.4\tinflight:3,x0:0.7\ncommit\n");
  EXPECT_EQ(played.status, 0) << played.err;
  EXPECT_TRUE(played.err.empty());
  EXPECT_EQ(played.out.substr(0, 10), "done\ndone\n");
  EXPECT_NE(played.out.find("for\t3\n"), std::string::npos);
  EXPECT_NE(
      played.out.find("read_through\t4503599627370495\t10.0.0.1:80\t0.000\t2599.750\t1\t10.0.0.2:80\t0\n"),
      std::string::npos)
      << played.out;
  EXPECT_EQ(played.out.substr(played.out.size() - 10), "done\ndone\n");
}

TEST(Drill, PassesOverProbesMessagesAndHaltedInstances) {
  const Played played = PlayText(kStart + "clock\t102\nat\t3\nmail\t1\taGkgNw==\nping_result\t10.0.0.1:80\t" +
                                 "pass\t1\t-\nhalt\ncommit\n");
  EXPECT_EQ(played.status, 0) << played.err;
}

TEST(Drill, AModuleThatThrowsEndsTheDayByDie) {
  std::string start = kStart;
  start.replace(start.find("limits.maxAttempts=4"), 20, "limits.maxAttempts=0");
  start.erase(start.find("define_list"));
  const Played played = PlayText(start + "commit\n");
  EXPECT_EQ(played.status, 0);
  EXPECT_NE(played.out.find("for\t3\ndie\t"), std::string::npos);
}

TEST(Drill, NamesWhatIsMalformed) {
  const auto bad = [](const std::string& batch, const std::string& said) {
    const Played played = PlayText(kStart + batch);
    EXPECT_EQ(played.status, 2) << batch;
    EXPECT_NE(played.err.find(said), std::string::npos) << played.err << "wanted: " << said;
  };
  const std::string head = "clock\t101\nat\t3\n";
  bad("tick\t101\n", "line 10: message: expected clock");
  bad("clock\tsoon\n", "line 10: clock: expected a number");
  bad("clock\t101x\n", "clock: expected a number");
  bad("clock\tinf\n", "clock: expected a finite number");
  bad("clock\t101\nring\t1\ncommit\n", "an instance named by 'at'");
  bad("clock\t101\nat\t4\nring\t1\ncommit\n", "an instance that has been started");
  bad(head + "rung\t1\ncommit\n", "a known event, not 'rung'");
  bad(head + "ring\t-1\ncommit\n", "ref: expected a whole number");
  bad(head + "ring\n", "ref: expected a value, but the line ends");
  bad(head + "ring\t1\t2\n", "end of line: expected no further value");
  bad(head + "roster_change\tpatch\t7\t1\n", "setId: expected a list that was defined");
  bad(head + "roster_change\tpatch\t16\t1\n", "setId: expected a list");
  bad(head + "define_list\t0\t1\nring\t1\n", "message: expected row");
  bad(head + "define_list\t0\t1\nrow\t10.0.0.1:80\t1\tup\t0\tbox\t-\tedge\n",
      "availability: expected one of on");
  bad(head + "req\t1\t100\t0\tvideo\t1\t1\t0\t-\t91f03b7c55d20a64\n", "tierClass: expected a name");
  bad(head + "req\t1\t100\t0\tpage\t1\t1\t0\t-\t91f03b7c\n", "resource: expected 16 hex digits");
  bad(head + "result\t1\t0\t10.0.0.1:80\tgood\t1\t1\t0\t-\t-\n", "disposition: expected one of");
  bad(head + "result\t1\t0\t10.0.0.1:80\tpass\t1\t2\t0\t-\t-\n", "closed: expected 1 or 0");
  bad(head + "result\t1\t0\t10.0.0.1:80\tpass\t1\t1\t11\t-\t-\n", "detail: expected a note");
  bad(head + "result\t1\t0\t10.0.0.1:80\tpass\t1\t1\t1\t-\tx0\n", "stats: expected name:value");
  bad(head + "ring\t1\n", "the input ends");
}

}  // namespace
}  // namespace tinspan::drill
