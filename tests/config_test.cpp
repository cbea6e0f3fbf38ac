// Tests the validation of a platform configuration, which happens at the start and on every SIGHUP. A file
// that is empty, truncated, lacks a key, or has a deadline or number of attempts that is not above 0 is
// rejected as a whole. The error names the key, and its line if the file has it.
#include "config/config.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "setup/reload.hpp"

namespace {

const std::string kValidConfig =
    R"({"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"changelog":"127.0.0.1:9092","known":{"seq":0,"results":[]},
"settings":{"areas":["core","edge"],"kinds":["box","up","store"],"zone":"edge","instances":1,"me":0,
"tickMs":2.0,"lanes":[
{"name":"pages","effect":"repeatable","keyScope":"all","promiseMs":2000.0,"giveUpMs":2500.0,
 "lateShare":0.2,"credit":1.0,"streaming":false,"windowMs":5000.0},
{"name":"orders","effect":"by_key","keyScope":"all","promiseMs":2000.0,"giveUpMs":3000.0,
 "lateShare":0.0,"credit":3.0,"streaming":false,"windowMs":6000.0}],
"familyInfo":{"midKind":1,"sourceKind":2,"siblings":"location","detail":"hit","paceKbPerS":5000.0,
"passThroughOk":true,"canJoin":true,"classWrite":[false,true],"maxAgeMs":[12000.0,0.0],
"classGraceMs":[0.0,0.0],"instancesByZone":[0,1],"purgeSlackMs":1000.0,"goneEverywhereMs":6000.0},
"limits":{"maxAttempts":8,"cancel":true,"connectTimeoutMs":400.0,"retryAfter":true,
"maxRetryAfterMs":2000.0,"idleCloseMs":30000.0,"streamsPerConn":100},
"rules":{"coldShare":0.2,"warmAfterMs":16000.0,"drainGraceMs":500.0,"graceToAnswerMs":8.0}}})";

std::string Replaced(std::string text, const std::string& from, const std::string& to, int nth = 0) {
  std::size_t position = text.find(from);
  while (nth-- > 0) position = text.find(from, position + 1);
  return text.replace(position, from.size(), to);
}
std::string RejectionReason(const std::string& text) {
  try {
    tinspan::config::ParsePlatform(text, "n0", "127.0.0.1:7001");
  } catch (const tinspan::config::Error& error) {
    return error.what();
  }
  return {};
}

TEST(ConfigCheck, AcceptsAValidFile) {
  const auto config = tinspan::config::ParsePlatform(kValidConfig, "n0", "127.0.0.1:7001");
  EXPECT_EQ(config.site.classes.size(), 2u);
  EXPECT_EQ(config.longest_deadline.count(), 3'000'000);
  EXPECT_FALSE(config.ops);
  const auto with_ops = tinspan::config::ParsePlatform(
      Replaced(kValidConfig, R"("seed")", R"("ops":"127.0.0.1:9100","seed")"), "n0", "127.0.0.1:7001");
  ASSERT_TRUE(with_ops.ops);
  EXPECT_EQ(with_ops.ops->Text(), "127.0.0.1:9100");
}

TEST(ConfigCheck, ChecksTheFleetView) {
  const auto with = [](const std::string& members) {
    return Replaced(kValidConfig, R"("seed")", R"("members":{)" + members + R"(},"seed")");
  };
  EXPECT_FALSE(
      tinspan::config::ParsePlatform(kValidConfig, "n0", "127.0.0.1:7001").members);  // off without `members`
  const auto good = tinspan::config::ParsePlatform(
      with(R"("fleet":"shop","listen":"127.0.0.1:7946","seeds":["127.0.0.1:7947"],"probe_ms":200)"), "n0",
      "127.0.0.1:7001");
  ASSERT_TRUE(good.members);
  EXPECT_EQ(good.members->probe_timeout.count(), 100'000);
  EXPECT_EQ(good.members->seeds.size(), 1u);
  const std::string base = R"("fleet":"shop","listen":"127.0.0.1:7946")";
  for (const auto& [members, named] : std::vector<std::pair<std::string, std::string>>{
           {R"("listen":"127.0.0.1:7946")", "members.fleet"},
           {R"("fleet":"two words","listen":"127.0.0.1:7946")", "members.fleet"},
           {R"("fleet":"shop")", "members.listen"},
           {R"("fleet":"shop","listen":"here")", "members.listen"},
           {base + R"(,"advertise":"127.0.0.1:0")", "members.advertise"},
           {base + R"(,"seeds":["127.0.0.1:7947","x"])", "members.seeds.1"},
           {base + R"(,"probe_ms":1)", "members.probe_ms"},
           {base + R"(,"probe_ms":200,"probe_timeout_ms":200)", "members.probe_timeout_ms"},
           {base + R"(,"indirect":9)", "members.indirect"},
           {base + R"(,"suspicion_beta":0.5)", "members.suspicion_beta"},
           {base + R"(,"sync_ms":10)", "members.sync_ms"},
           {base + R"(,"dead_keep_ms":1000)", "members.dead_keep_ms"}}) {
    EXPECT_NE(RejectionReason(with(members)).find(named), std::string::npos)
        << members << ": " << RejectionReason(with(members));
  }
  EXPECT_THROW(tinspan::config::ParsePlatform(with(base), "a name of words", "127.0.0.1:7001"),
               tinspan::config::Error);
}

TEST(ConfigCheck, RejectsAnEmptyFile) {
  EXPECT_NE(RejectionReason(""), "");
  EXPECT_NE(RejectionReason(" \n"), "");
}

TEST(ConfigCheck, NamesTheDeadlineAndItsLine) {
  for (const char* bad : {"0.0", "-5", "\"soon\"", "null"}) {
    const std::string reason =
        RejectionReason(Replaced(kValidConfig, "\"giveUpMs\":3000.0", std::string("\"giveUpMs\":") + bad));
    EXPECT_NE(reason.find("settings.lanes.1.giveUpMs"), std::string::npos) << bad << ": " << reason;
  }
  EXPECT_NE(RejectionReason(Replaced(kValidConfig, "\"giveUpMs\":3000.0", "\"giveUpMs\":0")).find("(line 7)"),
            std::string::npos);
  // A missing deadline is rejected too.
  EXPECT_NE(
      RejectionReason(Replaced(kValidConfig, "\"giveUpMs\":2500.0,", "")).find("settings.lanes.0.giveUpMs"),
      std::string::npos);
}

TEST(ConfigCheck, NamesTheAttempts) {
  for (const char* bad : {"0", "-1", "2.5", "\"many\""}) {
    const std::string reason =
        RejectionReason(Replaced(kValidConfig, "\"maxAttempts\":8", std::string("\"maxAttempts\":") + bad));
    EXPECT_NE(reason.find("settings.limits.maxAttempts"), std::string::npos) << bad << ": " << reason;
  }
  EXPECT_NE(
      RejectionReason(Replaced(kValidConfig, "\"maxAttempts\":8,", "")).find("settings.limits.maxAttempts"),
      std::string::npos);
}

TEST(ConfigCheck, NamesAMissingKey) {
  for (const char* key : {"seed", "changelog", "known", "settings"}) {
    const std::string text = Replaced(kValidConfig, std::string("\"") + key + "\"", "\"x_unused\"");
    EXPECT_NE(RejectionReason(text).find(key), std::string::npos) << key;
  }
}

// A file truncated at any byte is rejected with an error: it is never accepted and never causes a crash.
TEST(ConfigCheck, RejectsEveryTruncatedFile) {
  EXPECT_TRUE(rc::check([](void) {
    const auto cut = *rc::gen::inRange<std::size_t>(0, kValidConfig.size() - 1);
    RC_ASSERT(!RejectionReason(kValidConfig.substr(0, cut)).empty());
  }));
}

// A file with one changed byte is either accepted or rejected with a reason: it never causes a crash.
TEST(ConfigCheck, DoesNotCrashOnAnyChangedByte) {
  EXPECT_TRUE(rc::check([](void) {
    std::string text = kValidConfig;
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    try {
      tinspan::config::ParsePlatform(text, "n0", "127.0.0.1:7001");
    } catch (const tinspan::config::Error& error) {
      RC_ASSERT(std::string(error.what()).size() > 0);
    }
  }));
}

}  // namespace

namespace {

tinspan::NamedSettings ParseSite(const std::string& text) {
  return tinspan::config::ParsePlatform(text, "n0", "127.0.0.1:7001").site;
}

// What was absent was taken for 0 or false: a class without a latency objective, a window or a scope, or a
// list by class that is too short, is an error at the start as well.
TEST(ConfigCheck, RejectsAFileThatMissesARuleOfAClass) {
  const std::vector<std::pair<std::string, std::string>> replacements{
      {R"("promiseMs":2000.0,"giveUpMs":3000.0)", R"("giveUpMs":3000.0)"},
      {R"("promiseMs":2000.0,"giveUpMs":3000.0)", R"("promiseMs":null,"giveUpMs":3000.0)"},
      {R"("promiseMs":2000.0,"giveUpMs":3000.0)", R"("promiseMs":0,"giveUpMs":3000.0)"},
      {R"(,"windowMs":6000.0)", ""},
      {R"("effect":"by_key","keyScope":"all")", R"("effect":"by_key")"},
      {R"("classWrite":[false,true],)", ""},
      {R"("classWrite":[false,true])", R"("classWrite":[false])"},
      {R"("maxAgeMs":[12000.0,0.0])", R"("maxAgeMs":[12000.0])"}};
  const std::vector<std::string> keys{"lanes.1.promiseMs",     "lanes.1.promiseMs",  "lanes.1.promiseMs",
                                      "lanes.1.windowMs",      "lanes.1.keyScope",   "familyInfo.classWrite",
                                      "familyInfo.classWrite", "familyInfo.maxAgeMs"};
  for (std::size_t index = 0; index < replacements.size(); ++index) {
    const auto& [from, to] = replacements[index];
    ASSERT_NE(kValidConfig.find(from), std::string::npos) << from;
    EXPECT_NE(RejectionReason(Replaced(kValidConfig, from, to)).find("settings." + keys[index]),
              std::string::npos)
        << to << ": " << RejectionReason(Replaced(kValidConfig, from, to));
  }
}

// Existing classes keep their indices; new and changed ones are appended; the number of attempts is applied.
// A class that the new settings omit remains, for the clients that still use it.
TEST(MergeReloadedSettings, KeepsIndicesAndAppendsNewClasses) {
  const tinspan::NamedSettings current = ParseSite(kValidConfig);
  std::string text = Replaced(kValidConfig, R"("name":"pages")", R"("name":"pages_new")");
  text = Replaced(text, R"("effect":"by_key")", R"("effect":"once")");
  text = Replaced(text, "\"maxAttempts\":8", "\"maxAttempts\":2");
  const tinspan::ReloadResult reloaded = tinspan::MergeReloadedSettings(current, ParseSite(text));
  ASSERT_TRUE(reloaded.changed);
  EXPECT_EQ(reloaded.site.classes, (tinspan::Names{"pages", "orders", "pages_new", "orders"}));
  EXPECT_EQ(reloaded.added, (std::vector<std::string>{"pages_new", "orders"}));
  EXPECT_EQ(reloaded.dropped, (std::vector<std::string>{"pages"}));
  EXPECT_EQ(reloaded.site.settings.classes[1].effect,
            tinspan::Effect::kIdempotencyKey);  // open requests keep their rules
  EXPECT_EQ(reloaded.site.settings.classes[3].effect, tinspan::Effect::kNonIdempotent);
  EXPECT_EQ(reloaded.site.settings.max_attempts, 2u);
  std::size_t index = 0;
  ASSERT_TRUE(tinspan::FindClass(reloaded.site.classes, "orders", index));
  EXPECT_EQ(index, 3u);  // new requests get the new rules
  ASSERT_TRUE(tinspan::FindClass(reloaded.site.classes, "pages", index));
  EXPECT_EQ(index, 0u);
  EXPECT_FALSE(tinspan::FindClass(reloaded.site.classes, "scans", index));
  // Reloading the same file changes nothing.
  EXPECT_FALSE(tinspan::MergeReloadedSettings(reloaded.site, ParseSite(text)).changed);
  EXPECT_FALSE(tinspan::MergeReloadedSettings(current, ParseSite(kValidConfig)).changed);
}

}  // namespace
