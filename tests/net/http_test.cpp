// The gateway's front: the real program between web clients, signing servers and a Consul, all played here
// from their public specifications (RFC 9110 to 9112, 9246, 7515, 6750, and Consul's HTTP API).
#include "front/http/access.hpp"
#include "front/http/jws.hpp"
#include "harness.hpp"

namespace {

using tinspan::http::HashContainer;
using tinspan::http::Key;
using tinspan::http::KeySet;
using tinspan::http::SignCompact;

const std::string kOrigin = "https://scans.example.is";
const std::string kShared =
    R"({"kty":"oct","kid":"shared-1","alg":"HS256","k":"AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow"})";
const std::string kPublic =
    R"("kty":"EC","crv":"P-256","kid":"pair-1","alg":"ES256","x":"f83OJ3D2xF1Bg8vub9tLe1gHMzV76e8Tus9uPHvRVEU","y":"x_FEzRu9m36HLN_tue659LNpXW6pCyStikYjKIWI5a0")";
const std::string kPair = "{" + kPublic + R"(,"d":"jpsQnnGQmL-YBIffH1136cspYG6-0iY7X1fCE9-E9LI"})";
const std::string kOther =
    R"({"kty":"oct","kid":"shared-1","alg":"HS256","k":"c29tZSBvdGhlciBzZWNyZXQgb2YgdGhpcnR5LXR3byBieXRlcyE"})";
const std::string kNext =
    R"({"kty":"oct","kid":"shared-2","alg":"HS256","k":"dGhlIG5leHQgc2VjcmV0LCBpbiB1c2UgYWZ0ZXIgYSByb3RhdGlvbg"})";
const std::string kOwn =
    R"({"kty":"oct","kid":"gateway-1","alg":"HS256","k":"dGhlIGdhdGV3YXkncyBvd24gc2VjcmV0IG9mIG1hbnkgYnl0ZXM"})";

std::string Lane(const char* name, const char* effect, int aim, int ms) {
  return std::string(R"({"name":")") + name + R"(","effect":")" + effect +
         R"(","keyScope":"all","promiseMs":)" + std::to_string(aim) +
         R"(,)"
         R"("giveUpMs":)" +
         std::to_string(ms) + R"(,"lateShare":0.2,"credit":1.0,"windowMs":6000.0})";
}
const std::string kSettings =
    R"({"areas":["core","edge"],"kinds":["box","store"],"zone":"edge","instances":1,"me":0,
"tickMs":2.0,"lanes":[)" +
    Lane("scans", "repeatable", 1400, 1500) + "," + Lane("pages", "repeatable", 1400, 1500) + "," +
    Lane("orders", "by_key", 1500, 1500) +
    R"(],"familyInfo":{"midKind":-1,"sourceKind":1,"siblings":"location","detail":"hit",
"passThroughOk":true,"canJoin":true,"classWrite":[false,false,true],"maxAgeMs":[0.0,12000.0,0.0],
"instancesByZone":[0,1],"purgeSlackMs":1000.0,"goneEverywhereMs":6000.0},"limits":{"maxAttempts":2,"cancel":true,
"connectTimeoutMs":400.0,"retryAfter":true,"maxRetryAfterMs":2000.0,"idleCloseMs":30000.0},
"rules":{"coldShare":0.2,"warmAfterMs":16000.0,"fallMultiple":2.5,"tipAfterMs":3000.0,"drainGraceMs":500.0,
"graceToAnswerMs":8.0},"weights":"off"})";

struct Answer {
  int status = 0;
  std::string head;
  std::string body;
};
// A request or an answer with a Content-Length.
std::string Message(TcpPeer& peer, std::string* body = nullptr) {
  const std::string head = peer.ReadUntil("\r\n\r\n") + "\r\n";
  const std::size_t at = head.find("Content-Length: ");
  const std::string got = at == std::string::npos ? "" : peer.ReadExactly(std::stoul(head.substr(at + 16)));
  if (body != nullptr) *body = got;
  return head;
}
Answer Read(TcpPeer& client) {
  Answer out;
  out.head = Message(client, &out.body);
  CHECK_OR_THROW(out.head.starts_with("HTTP/1.1 "));
  out.status = std::stoi(out.head.substr(9));
  return out;
}
std::string Reply(const std::string& status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
std::string Get(const std::string& target, const std::string& fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: scans.example.is\r\n" + fields + "\r\n";
}

// Signatures as an issuer makes them.
std::string Times(double expires, double from = -60) {
  const double now = static_cast<double>(UnixMs()) / 1000;
  return R"("iss":"shop","exp":)" + std::to_string(now + expires) + R"(,"nbf":)" +
         std::to_string(now + from) + R"(,"iat":)" + std::to_string(now + from);
}
std::string Token(const std::string& key, const std::string& claims) {
  return SignCompact(Key::FromJwk(key, "key"), "{" + claims + "}");
}
std::string Package(const std::string& uri, const std::string& times, const std::string& key = kShared,
                    const std::string& more = R"(,"cdniv":1)") {
  return Token(key, times + more + R"(,"cdniuc":")" + HashContainer(kOrigin + uri) + "\"");
}
std::string Signed(const std::string& uri, const std::string& package) {
  return uri + (uri.find('?') == std::string::npos ? "?" : "&") + "URISigningPackage=" + package;
}
std::string Bearer(const std::string& token) { return "Authorization: Bearer " + token + "\r\n"; }

std::string Health(const std::string& node, const std::string& status,
                   const std::string& check = "service:x") {
  return R"({"Node":{"Node":")" + node + R"("},"Service":{"ID":"c"},"Checks":[{"CheckID":")" + check +
         R"(","Status":")" + status + R"("}]})";
}
std::string Entry(const std::string& node, const TcpListener& server) {
  return R"({"Node":")" + node +
         R"(","Address":"127.0.0.1","ServiceID":"c","ServiceAddress":"","ServicePort":)" +
         std::to_string(server.port) + R"(,"ServiceMeta":{},"ServiceWeights":{"Passing":1}})";
}

struct World {
  TcpListener consul, cache, second, stock;
  std::string folder;
  std::unique_ptr<Program> program;
  std::map<std::string, TcpPeer> watches;  // by service; a health query waits on each
  std::map<std::string, TcpPeer> catalogs;
  std::string asked;  // the last health query
  int port = 0;

  explicit World(bool two = false) {
    char name[] = "/tmp/tinspan-test-XXXXXX";
    CHECK_OR_THROW(::mkdtemp(name) != nullptr);
    folder = std::string(name) + "/";
    Write("keys.json", R"({"keys":[)" + kShared + ",{" + kPublic + "}]}");
    Write("own.json", kOwn);
    Write("operator.token", "an operator's long token\n");
    Write("consul.token", "consul-secret\n");
    Write("gateway.json",
          R"({"name":"gateway-north","listen":"127.0.0.1:0","origin":")" + kOrigin +
              R"(","audience":"north","keys_file":"keys.json","signing_key_file":"own.json","stall_ms":3000,
          "operator_token_file":"operator.token","routes":[{"class":"scans","path":"/scans/","access":"either"},
          {"class":"pages","path":"/pages/","access":"token"},{"class":"orders","path":"/orders","access":"token"}],
          "consul":{"address":")" +
              consul.Address() + R"(","token_file":"consul.token","zone":"edge","services":[
          {"name":"shop-cache","kind":"box"},{"name":"main-stock","kind":"store"}]},"settings":)" +
              kSettings + "}");
    program = std::make_unique<Program>(
        std::vector<std::string>{"serve", "-f", folder + "gateway.json", "--log-level", "trace"},
        std::map<std::string, std::string>{});
    port = program->Port();
    Await();
    Await();
    Tell("main-stock", 3, Health("stock", "passing"), Entry("stock", stock));
    Tell("shop-cache", 7, Health("n1", "passing") + (two ? "," + Health("n2", "warning") : ""),
         Entry("n1", cache) + (two ? "," + Entry("n2", second) : ""));
  }
  ~World() {
    for (const char* name : {"keys.json", "own.json", "operator.token", "consul.token", "gateway.json"}) {
      ::unlink((folder + name).c_str());
    }
    ::rmdir(folder.c_str());
  }
  void Write(const std::string& name, const std::string& text) { std::ofstream(folder + name) << text; }
  // The next watch that connects and asks.
  void Await() {
    TcpPeer peer = consul.Accept();
    Asked(peer);
    const std::string service = asked.substr(23, asked.find('?') - 23);
    watches[service] = std::move(peer);
  }
  void Asked(TcpPeer& peer) {
    asked = peer.ReadUntil("\r\n\r\n");
    CHECK_OR_THROW(asked.starts_with("GET /v1/health/service/") &&
                   asked.find("X-Consul-Token: consul-secret") != std::string::npos);
  }
  // Answers the waiting query, and waits for the next and for the catalogue's.
  void TellHealth(const std::string& service, int index, const std::string& health) {
    TcpPeer& peer = watches.at(service);
    peer.Send(Reply("200 OK", "[" + health + "]", "X-Consul-Index: " + std::to_string(index) + "\r\n"));
    Asked(peer);
    if (!catalogs.contains(service)) catalogs[service] = consul.Accept();
    CHECK_OR_THROW(
        catalogs[service].ReadUntil("\r\n\r\n").starts_with("GET /v1/catalog/service/" + service + " "));
  }
  void TellCatalog(const std::string& service, const std::string& catalog) {
    const std::string body = "[" + catalog + "]";  // in chunks, as Consul sends longer ones
    char size[16];
    std::snprintf(size, sizeof size, "%zx", body.size());
    catalogs.at(service).Send(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + size +
                              "\r\n" + body + "\r\n0\r\n\r\n");
  }
  // Both, and waits until the list is in force.
  void Tell(const std::string& service, int index, const std::string& health, const std::string& catalog) {
    TellHealth(service, index, health);
    TellCatalog(service, catalog);
    program->ReadLogThrough("nodes listed: " + service);
  }
  TcpPeer Client() { return TcpPeer::Connect(port); }
  // Whether a new request goes to that server, and its answer to the client.
  bool ServedBy(TcpListener& server) {
    TcpPeer client = Client();
    client.Send(Get("/pages/a", Bearer(Token(kShared, Times(60)))));
    TcpPeer peer = server.Accept();
    Message(peer);
    peer.Send(Reply("200 OK", "page", "Connection: close\r\n"));
    return Read(client).body == "page";
  }
  int Status(const std::string& request) {
    TcpPeer client = Client();
    client.Send(request);
    return Read(client).status;
  }
};

const std::string kScan = "/scans/estate/book.jpg?page=3";

TEST(HttpTest, ServesASignedLink) {
  World world;
  TcpPeer client = world.Client();
  // The same object, written otherwise: what is verified is the canonical form, and it is what is fetched.
  client.Send(Get(Signed("/x/../scans/%65state/book.jpg?page=3", Package(kScan, Times(60))),
                  "Referer: https://a/?URISigningPackage=leak\r\nRange: bytes=0-\r\n"));
  TcpPeer server = world.cache.Accept();
  const std::string asked = Message(server);
  ASSERT_TRUE(asked.starts_with("GET " + kScan + "&URISigningPackage="));
  ASSERT_NE(asked.find("\r\nRange: bytes=0-\r\n"), std::string::npos);
  ASSERT_EQ(asked.find("leak"), std::string::npos);
  ASSERT_NE(asked.find("Host: scans.example.is\r\n"), std::string::npos);
  ASSERT_NE(asked.find("source=stock/c"), std::string::npos);
  // Signed anew, with the gateway's key: valid since a leeway ago, until the deadline and a leeway more.
  const std::string target = asked.substr(4, asked.find(" HTTP/1.1") - 4);
  const auto claims = KeySet::FromJwks(R"({"keys":[)" + kOwn + "]}", "own")
                          .Verify(target.substr(target.find("Package=") + 8));
  ASSERT_TRUE(claims);
  ASSERT_NE(claims->find(HashContainer(kOrigin + kScan)), std::string::npos);
  const auto number = [&](const char* name) { return std::stol(claims->substr(claims->find(name) + 6)); };
  const auto now = UnixMs() / 1000;
  ASSERT_LE(number("\"nbf\":"), now - 5);
  ASSERT_GE(number("\"nbf\":"), now - 7);
  ASSERT_LE(number("\"iat\":"), now - 5);
  ASSERT_GE(number("\"exp\":"), now + 5);
  ASSERT_LE(number("\"exp\":"), now + 9);
  std::string body;
  for (int i = 0; i < 300'000; ++i) body += static_cast<char>(i * 7 + i / 256);
  server.Send(Reply("200 OK", body, "ETag: \"e1\"\r\nCache-Status: c; hit\r\n"));
  const Answer answer = Read(client);
  ASSERT_EQ(answer.status, 200);
  ASSERT_EQ(answer.body, body);
  ASSERT_NE(answer.head.find("ETag: \"e1\""), std::string::npos);
  // The connection goes on, on both sides; a HEAD has no body, chunks pass as they are.
  client.Send("HEAD " + Signed(kScan, Package(kScan, Times(60))) +
              " HTTP/1.1\r\nHost: scans.example.is\r\n\r\n");
  ASSERT_TRUE(Message(server).starts_with("HEAD "));
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
  ASSERT_NE(client.ReadUntil("\r\n\r\n").find("Content-Length: 300000"), std::string::npos);
  client.Send(Get(kScan, Bearer(Token(kShared, Times(60)))));
  ASSERT_TRUE(Message(server).starts_with("GET " + kScan));
  server.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n");
  client.ReadUntil("\r\n\r\n");
  ASSERT_EQ(client.ReadUntil("0\r\nT: v\r\n\r\n"), "3;x=y\r\nabc\r\n");
  // No token has reached the log.
  world.program->Signal(SIGTERM);
  ASSERT_EQ(world.program->Wait(), 0);
  ASSERT_EQ(world.program->log.find("eyJ"), std::string::npos);
}

TEST(HttpTest, RejectsInvalidLinks) {
  World world;
  const auto link = [&](const std::string& package) { return world.Status(Get(Signed(kScan, package))); };
  const std::string good = Package(kScan, Times(60));
  std::string forged = good;
  forged[forged.find('.') + 5] ^= 1;
  ASSERT_EQ(link(forged), 403);
  ASSERT_EQ(link(good.substr(0, good.rfind('.') + 1)), 403);            // no signature
  ASSERT_EQ(link(Package(kScan, Times(-6))), 403);                      // expired, outside the leeway
  ASSERT_EQ(link(Package(kScan, Times(60, 6))), 403);                   // early, outside the leeway
  ASSERT_EQ(link(Package("/scans/estate/other.jpg", Times(60))), 403);  // of another path
  ASSERT_EQ(link(Package("/scans/estate/book.jpg", Times(60))), 403);   // of another query
  ASSERT_EQ(link(Package(kScan, Times(60), kOther)), 403);              // by another key under this id
  ASSERT_EQ(link(Package(kScan, Times(60), kNext)), 403);               // by a key that is not in the set
  ASSERT_EQ(link(Package(kScan, Times(60), kShared, "")), 403);         // no cdniv
  ASSERT_EQ(link(Package(kScan, Times(60), kShared, R"(,"cdniv":2)")), 403);
  ASSERT_EQ(link(Package(kScan, Times(60), kShared, R"(,"cdniv":1,"cdnicrit":"cdniip")")), 403);
  ASSERT_EQ(link(Package(kScan, Times(60), kShared, R"(,"cdniv":1,"aud":"south")")), 403);
  ASSERT_EQ(link(Package(kScan, R"("iss":"shop")")), 403);  // never expires
  ASSERT_EQ(link(Token(kShared, Times(60))), 403);          // a token is no link
  // The algorithm is the key's: neither none, nor the public key taken for a secret, nor a critical header.
  const auto forge = [&](const std::string& header, const std::string& secret) {
    const std::string payload = good.substr(good.find('.') + 1, good.rfind('.') - good.find('.') - 1);
    const std::string input = tinspan::http::Base64Url(header) + "." + payload;
    if (secret.empty()) return input + ".";
    const std::string jwk =
        R"({"kty":"oct","kid":"x","alg":"HS256","k":")" + tinspan::http::Base64Url(secret) + "\"}";
    return input + "." + tinspan::http::Base64Url(Key::FromJwk(jwk, "x").Sign(input));
  };
  ASSERT_EQ(link(forge(R"({"alg":"none","kid":"shared-1"})", "")), 403);
  ASSERT_EQ(link(forge(R"({"alg":"HS256","kid":"pair-1"})", "{" + kPublic + "}")), 403);
  const std::string secret = *tinspan::http::FromBase64Url(kShared.substr(kShared.find("\"k\":\"") + 5, 86));
  ASSERT_EQ(link(forge(R"({"alg":"HS256","kid":"shared-1","crit":["b64"],"b64":true})", secret)), 403);
  ASSERT_EQ(link(forge(R"({"alg":"HS256"})", secret)), 403);  // names no key
  ASSERT_EQ(world.Status(Get(Signed(Signed(kScan, good), good))), 400);
  ASSERT_EQ(world.Status(Get(Signed("/scans/estate%2Fbook.jpg?page=3", good))), 400);
  ASSERT_EQ(world.Status("GET " + Signed(kScan, good) + " HTTP/1.1\r\nHost: elsewhere.example\r\n\r\n"), 421);
  ASSERT_EQ(world.Status(Get("/nowhere")), 404);
  ASSERT_TRUE(world.cache.HasNoConnectionFor(0));  // nothing of all this was asked for
}

TEST(HttpTest, AllowsForClockSkew) {
  World world;
  TcpPeer client = world.Client(), server;
  const std::string regex = Token(
      kShared, Times(60) + R"(,"cdniv":1,"cdniuc":"regex:https://scans\\.example\\.is/scans/estate/.*")");
  bool first = true;
  for (const std::string& package :
       {Package(kScan, Times(-3)), Package(kScan, Times(60, 3)), Package(kScan, Times(60), kPair), regex}) {
    client.Send(Get(Signed(kScan, package)));
    if (std::exchange(first, false)) server = world.cache.Accept();
    Message(server);
    server.Send(Reply("200 OK", "scan"));
    ASSERT_EQ(Read(client).body, "scan");
  }
}

// A link that expires while its scan is halfway sent: the transfer is finished, a new request is refused.
TEST(HttpTest, CompletesATransferThatOutlivesItsLink) {
  World world;
  TcpPeer client = world.Client();
  const std::string request =
      Get(Signed(kScan, Package(kScan, Times(-3.5))));  // within the leeway for 1.5 s more
  client.Send(request);
  TcpPeer server = world.cache.Accept();
  Message(server);
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
  client.ReadUntil("\r\n\r\n");
  ASSERT_EQ(client.ReadExactly(4), "half");
  for (const auto end = UnixMs() + kWaitLimitMs; world.Status(request) != 403;) {
    ASSERT_LT(UnixMs(), end);
    TcpPeer more = world.cache.Accept();  // still good: answered, and tried again
    Message(more);
    more.Send(Reply("200 OK", "", "Connection: close\r\n"));
  }
  server.Send("done");
  ASSERT_EQ(client.ReadExactly(4), "done");
}

TEST(HttpTest, ChecksTokens) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Get("/pages/a"));
  Answer answer = Read(client);
  ASSERT_EQ(answer.status, 401);
  ASSERT_NE(answer.head.find("WWW-Authenticate: Bearer realm=\"north\"\r\n"), std::string::npos);
  for (const std::string& bad :
       {Token(kShared, Times(-6)), Token(kOther, Times(60)), Token(kNext, Times(60)),
        Package("/pages/a", Times(60)), Token(kShared, Times(60) + R"(,"aud":["south"])")}) {
    client.Send(Get("/pages/a", Bearer(bad)));
    answer = Read(client);
    ASSERT_EQ(answer.status, 401);
    ASSERT_NE(answer.head.find("error=\"invalid_token\""), std::string::npos);
  }
  client.Send(Get("/pages/a", Bearer(Token(kPair, Times(60) + R"(,"aud":["south","north"])"))));
  TcpPeer server = world.cache.Accept();
  const std::string asked = Message(server);
  ASSERT_EQ(asked.find("Authorization: Bearer "),
            asked.rfind("Authorization:"));  // ours in place of the client's
  ASSERT_EQ(asked.find(kPair), std::string::npos);
  server.Send(Reply("404 Not Found", "no such page"));
  ASSERT_EQ(Read(client).body, "no such page");
  // Rotation: the next key comes in, the first goes.
  world.Write("keys.json", R"({"keys":[)" + kNext + "]}");
  world.program->Signal(SIGHUP);
  world.program->ReadLogThrough("keys read again");
  ASSERT_EQ(world.Status(Get("/pages/a", Bearer(Token(kShared, Times(60))))), 401);
  client.Send(Get("/pages/a", Bearer(Token(kNext, Times(60)))));
  Message(server);
  server.Send(Reply("200 OK", "page"));
  ASSERT_EQ(Read(client).body, "page");
}

std::string Order(const std::string& key, const std::string& body) {
  return "POST /orders HTTP/1.1\r\nHost: scans.example.is\r\n" + Bearer(Token(kShared, Times(60))) + key +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(HttpTest, ForwardsOrders) {
  World world;
  ASSERT_EQ(world.Status(Order("", "one copy")), 400);  // no key
  ASSERT_EQ(world.Status(Get("/orders", Bearer(Token(kShared, Times(60))))), 405);
  TcpPeer client = world.Client();
  client.Send(Order("Idempotency-Key: \"k-1\"\r\n", "one copy"));
  TcpPeer server = world.cache.Accept();
  std::string body;
  const std::string asked = Message(server, &body);
  ASSERT_TRUE(asked.starts_with("POST /orders HTTP/1.1"));
  ASSERT_NE(asked.find("Idempotency-Key: \"k-1\"\r\n"), std::string::npos);
  ASSERT_EQ(body, "one copy");
  ASSERT_NE(asked.find("source=stock/c"), std::string::npos);
  server.Send(Reply("201 Created", "reserved"));
  ASSERT_EQ(Read(client).status, 201);
}

// What a server answers, or does, and what the client is told.
TEST(HttpTest, MapsUpstreamFailuresToStatuses) {
  const auto play = [](const std::function<void(TcpPeer&)>& act) {
    World world;  // a new one each: the module remembers a server's failures
    TcpPeer client = world.Client();
    client.Send(Get("/pages/a", Bearer(Token(kShared, Times(60)))));
    while (client.IsSilentFor(10)) {  // as many attempts as the module makes, wherever it makes them
      for (TcpListener* const at : {&world.cache, &world.stock}) {
        if (at->HasNoConnectionFor(0)) continue;
        TcpPeer server = at->Accept();
        Message(server);
        act(server);
        client.IsSilentFor(50);  // whatever comes of it
      }
    }
    return Read(client);
  };
  const auto reply = [](const std::string& status) {
    return [=](TcpPeer& s) { s.Send(Reply(status, "", "Connection: close\r\n")); };
  };
  ASSERT_EQ(play(reply("401 Unauthorized")).status, 502);  // our signature, not the client's
  ASSERT_EQ(play(reply("403 Forbidden")).status, 502);
  const Answer full = play(reply("429 Too Many Requests"));
  ASSERT_EQ(full.status, 503);
  ASSERT_NE(full.head.find("Retry-After: 2\r\n"), std::string::npos);
  ASSERT_EQ(play([](TcpPeer& s) { s.Reset(); }).status, 503);
  ASSERT_EQ(play([](TcpPeer& s) { s.Send("HTTP/1.1 200 OK\r\n\r\nno end"); }).status,
            503);  // an end that does not show
  ASSERT_EQ(play([](TcpPeer& s) {
              s.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
            }).status,
            503);
}

TEST(HttpTest, AnswersAtTheDeadline) {
  World world;
  TcpPeer client = world.Client();
  const auto start = UnixMs();
  client.Send(Order("Idempotency-Key: k\r\n", ""));
  TcpPeer server = world.cache.Accept();
  Message(server);
  const Answer answer = Read(client);
  ASSERT_EQ(answer.status, 504);
  ASSERT_LT(UnixMs() - start, 1'550);
  ASSERT_TRUE(server.ReadToEnd().empty());  // given up on the wire as well
}

// A begun answer that breaks, or stops moving, is seen as broken: short of its length, and the connection
// ends.
TEST(HttpTest, BreaksOffATruncatedResponse) {
  World world;
  for (const bool silent : {false, true}) {
    TcpPeer client = world.Client();
    client.Send(Get("/pages/a", Bearer(Token(kShared, Times(60)))));
    TcpPeer server = world.cache.Accept();
    Message(server);
    server.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    client.ReadUntil("\r\n\r\n");
    ASSERT_EQ(client.ReadExactly(4), "half");
    if (!silent) server.Reset();
    ASSERT_TRUE(client.ReadToEnd().empty());
  }
}

// A client that stops reading holds its server back; all arrives once it reads again.
TEST(HttpTest, AppliesBackpressureToServers) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Get("/pages/a", Bearer(Token(kShared, Times(60)))));
  TcpPeer server = world.cache.Accept();
  Message(server);
  const std::size_t total = 64 << 20;
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(total) + "\r\n\r\n");
  const std::string block(1 << 20, 'x');
  const std::size_t pushed = server.SendUntilBlocked(block, total);
  ASSERT_LT(pushed, total);  // the gateway does not take it all in
  client.ReadUntil("\r\n\r\n");
  for (std::size_t sent = pushed, got = 0; got < total; got += 1 << 20) {
    if (sent < total) sent += server.SendUntilBlocked(block, total - sent);
    client.ReadExactly(1 << 20);
  }
}

TEST(HttpTest, FollowsConsul) {
  World world(true);
  ASSERT_NE(world.asked.find("?index=7&wait=30s"), std::string::npos);
  const auto served_by = [&](TcpListener& server) { return world.ServedBy(server); };
  // In maintenance it drains, critical is gone; warning is up. Either way the other one serves.
  const std::string both = Entry("n1", world.cache) + "," + Entry("n2", world.second);
  world.Tell("shop-cache", 8,
             Health("n1", "critical", "_service_maintenance:c") + "," + Health("n2", "warning"), both);
  ASSERT_TRUE(served_by(world.second));
  world.Tell("shop-cache", 9, Health("n1", "passing") + "," + Health("n2", "critical"), both);
  ASSERT_TRUE(served_by(world.cache));
  world.Tell("shop-cache", 10, Health("n1", "passing"), Entry("n1", world.cache));  // absent is gone
  ASSERT_TRUE(served_by(world.cache));
  // An index that goes back starts over.
  world.Tell("shop-cache", 4, Health("n1", "passing"), Entry("n1", world.cache));
  ASSERT_NE(world.asked.find("?index=0&"), std::string::npos);
  // A query that fails keeps the list, and is tried again.
  world.watches.at("shop-cache").Send(Reply("500 Internal Server Error", "no leader"));
  world.Await();
  ASSERT_TRUE(served_by(world.cache));
  world.watches.at("shop-cache").Reset();
  world.Await();
  ASSERT_TRUE(served_by(world.cache));
}

// What health says of nodes that are known holds at once, though the catalogue's answer never comes, and the
// next word of health is heard meanwhile; the catalogue's answer still counts when it comes.
TEST(HttpTest, AppliesHealthBeforeTheCatalog) {
  World world(true);
  const auto served_by = [&](TcpListener& server) { return world.ServedBy(server); };
  const auto told = [&] { world.program->ReadLogThrough("shop-cache: 1 changes"); };
  world.TellHealth("shop-cache", 8, Health("n1", "critical") + "," + Health("n2", "passing"));
  told();
  ASSERT_TRUE(served_by(world.second));
  ASSERT_TRUE(world.cache.HasNoConnectionFor(0));
  TcpPeer& watch = world.watches.at("shop-cache");  // the catalogue is still silent
  watch.Send(Reply("200 OK",
                   "[" + Health("n1", "critical") + "," + Health("n2", "critical", "_node_maintenance") + "]",
                   "X-Consul-Index: 9\r\n"));
  told();
  ASSERT_TRUE(served_by(world.stock));
  ASSERT_TRUE(world.second.HasNoConnectionFor(0));
  world.Asked(watch);
  ASSERT_NE(world.asked.find("?index=9&"), std::string::npos);
  watch.Send(Reply("200 OK", "[" + Health("n1", "passing") + "," + Health("n2", "critical") + "]",
                   "X-Consul-Index: 10\r\n"));
  told();
  world.Asked(watch);
  // n1 was gone: only the catalogue tells whether it has come back where it was.
  const std::string both = Entry("n1", world.cache) + "," + Entry("n2", world.second);
  world.TellCatalog("shop-cache", both);
  told();
  // Health has changed since that was asked: it is asked again.
  ASSERT_TRUE(world.catalogs.at("shop-cache").ReadUntil("\r\n\r\n").starts_with("GET /v1/catalog/service/"));
}

// What comes after the first list has just started, cold: without a figure yet of what one bears the module
// asks the main stock in its place.
TEST(HttpTest, WarmsUpNewNodes) {
  World world;
  world.Tell("shop-cache", 8, Health("n1", "critical") + "," + Health("n2", "passing"),
             Entry("n1", world.cache) + "," + Entry("n2", world.second));
  TcpPeer client = world.Client();
  client.Send(Get("/pages/a", Bearer(Token(kShared, Times(60)))));
  TcpPeer stock = world.stock.Accept();
  Message(stock);
  stock.Send(Reply("200 OK", "page"));
  ASSERT_EQ(Read(client).body, "page");
  ASSERT_TRUE(world.second.HasNoConnectionFor(0));
}

TEST(HttpTest, PurgesForOperators) {
  World world;
  const auto purge = [&](const std::string& token, const std::string& body) {
    return world.Status("POST /-/purge HTTP/1.1\r\nHost: x\r\n" + Bearer(token) +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  const std::string body = R"({"object":"/scans/estate/book.jpg?page=3"})";
  ASSERT_EQ(purge("a guess of the same size", body), 401);
  ASSERT_EQ(purge(Token(kShared, Times(60)), body), 401);  // a client's token is none of an operator's
  ASSERT_EQ(purge("an operator's long token", R"({"colour":1})"), 400);
  ASSERT_EQ(world.Status(Get("/-/healthy")), 200);
  ASSERT_EQ(purge("an operator's long token", body), 204);
  const auto start = UnixMs();
  while (UnixMs() < start + 1'100) ::usleep(10'000);
  TcpPeer client = world.Client();
  client.Send(Get(Signed(kScan, Package(kScan, Times(60)))));
  TcpPeer server = world.cache.Accept();
  const std::string asked = Message(server);
  ASSERT_NE(asked.find("Cache-Control: max-age=1\r\n"), std::string::npos);
  server.Send(Reply("200 OK", "old", "Age: 60\r\n"));  // from before the purge: not passed on
  TcpPeer next = world.stock.Accept();
  Message(next);
  next.Send(Reply("200 OK", "new"));
  ASSERT_EQ(Read(client).body, "new");
}

// Where two readers could disagree on where a message ends, or it is too large: refused, and the connection
// ends.
// A client with a request open that pipelines more than a buffer and goes: its request is given up at once,
// though the end stands behind what is not read.
TEST(HttpTest, AbortsAttemptsOfADisconnectedClient) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Get(kScan, Bearer(Token(kShared, Times(60)))));
  TcpPeer server = world.cache.Accept();
  Message(server);
  const std::string more(200'000, 'x');
  ASSERT_GT(client.SendUntilBlocked(more, more.size()), 0);
  const auto left = UnixMs();
  client.Reset();
  ASSERT_TRUE(server.ReadToEnd().empty());
  ASSERT_LT(UnixMs() - left, 700);  // not at the deadline, 1.5 s from the start
}

// A request of which a piece comes just when the gateway ends accepting, and the rest after it, is answered.
TEST(HttpTest, ReceivesARequestStillBeingWrittenDuringShutdown) {
  World world;
  TcpPeer client = world.Client(), other = world.Client();
  const std::string request = Get(kScan, Bearer(Token(kShared, Times(60))));
  client.Send(request.substr(0, 10));
  other.Send(Get("/-/healthy"));
  ASSERT_EQ(Read(other).status, 200);
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  {
    const StoppedProgram stopped(*world.program);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));  // past the end of accepting
    client.Send(request.substr(10, 10));
    other.Send(Get("/-/healthy"));
  }
  ASSERT_EQ(Read(other).status, 503);  // the round in which accepting ended has come
  client.Send(request.substr(20));
  TcpPeer server = world.cache.Accept();
  Message(server);
  server.Send(Reply("200 OK", "page"));
  ASSERT_EQ(Read(client).body, "page");
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

TEST(HttpTest, RejectsAmbiguousMessages) {
  World world;
  const std::string host = "Host: scans.example.is\r\n";
  const auto refused = [&](const std::string& request) {
    TcpPeer client = world.Client();
    client.Send(request);
    const int status = Read(client).status;
    CHECK_OR_THROW(client.ReadToEnd().empty());
    return status;
  };
  const std::string post = "POST /orders HTTP/1.1\r\n" + host;
  ASSERT_EQ(refused(post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400);
  ASSERT_EQ(refused(post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"), 400);
  ASSERT_EQ(refused(post + "Content-Length: +5\r\n\r\nhello"), 400);
  ASSERT_EQ(refused(post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 411);
  ASSERT_EQ(refused(post + "Content-Length: 48001\r\n\r\n"), 413);
  ASSERT_EQ(refused("GET / HTTP/1.1\r\n\r\n"), 400);
  ASSERT_EQ(refused("GET / HTTP/1.1\r\n" + host + host + "\r\n"), 400);
  ASSERT_EQ(refused("GET / HTTP/1.1\r\n" + host + " folded\r\n\r\n"), 400);
  ASSERT_EQ(refused("GET / HTTP/1.1\r\n" + host + "A : b\r\n\r\n"), 400);
  ASSERT_EQ(refused("GET / HTTP/1.1\r\n" + host + "A: b\nC: d\r\n\r\n"), 400);
  ASSERT_EQ(refused("GET / HTTP/1.0\r\n" + host + "\r\n"), 505);
  ASSERT_EQ(refused("GET /" + std::string(9'000, 'a') + " HTTP/1.1\r\n" + host + "\r\n"), 414);
  ASSERT_EQ(refused("GET / HTTP/1.1\r\n" + host + "A: " + std::string(30'000, 'a') + "\r\n\r\n"), 431);
}

}  // namespace
