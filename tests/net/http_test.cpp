// The HTTP front of a gateway: the real program, with web clients, servers and Consul played by the test
// after their public specifications (RFC 9110 to 9112, 9246, 7515, 6750, and Consul's HTTP API).
#include "front/http/access.hpp"
#include "front/http/jws.hpp"
#include "full_backlog.hpp"
#include "harness.hpp"
#include "resident_memory.hpp"

namespace {

using tinspan::http::HashContainer;
using tinspan::http::Key;
using tinspan::http::KeySet;
using tinspan::http::SignCompact;

const std::string kOrigin = "https://scans.example.is";
const std::string kSharedKey =
    R"({"kty":"oct","kid":"shared-1","alg":"HS256","k":"AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow"})";
const std::string kPublicKeyFields =
    R"("kty":"EC","crv":"P-256","kid":"pair-1","alg":"ES256","x":"f83OJ3D2xF1Bg8vub9tLe1gHMzV76e8Tus9uPHvRVEU","y":"x_FEzRu9m36HLN_tue659LNpXW6pCyStikYjKIWI5a0")";
const std::string kKeyPair =
    "{" + kPublicKeyFields + R"(,"d":"jpsQnnGQmL-YBIffH1136cspYG6-0iY7X1fCE9-E9LI"})";
const std::string kForgedKey =
    R"({"kty":"oct","kid":"shared-1","alg":"HS256","k":"c29tZSBvdGhlciBzZWNyZXQgb2YgdGhpcnR5LXR3byBieXRlcyE"})";
const std::string kNextKey =
    R"({"kty":"oct","kid":"shared-2","alg":"HS256","k":"dGhlIG5leHQgc2VjcmV0LCBpbiB1c2UgYWZ0ZXIgYSByb3RhdGlvbg"})";
const std::string kGatewayKey =
    R"({"kty":"oct","kid":"gateway-1","alg":"HS256","k":"dGhlIGdhdGV3YXkncyBvd24gc2VjcmV0IG9mIG1hbnkgYnl0ZXM"})";

// One class of the settings, with its latency objective and its deadline.
std::string ClassSettings(const char* name, const char* effect, int objective_ms, int deadline_ms) {
  return std::string(R"({"name":")") + name + R"(","effect":")" + effect +
         R"(","keyScope":"all","promiseMs":)" + std::to_string(objective_ms) +
         R"(,)"
         R"("giveUpMs":)" +
         std::to_string(deadline_ms) + R"(,"lateShare":0.2,"credit":1.0,"windowMs":6000.0})";
}
const std::string kSettings =
    R"({"areas":["core","edge"],"kinds":["box","store"],"zone":"edge","instances":1,"me":0,
"tickMs":2.0,"lanes":[)" +
    ClassSettings("scans", "repeatable", 1400, 1500) + "," +
    ClassSettings("pages", "repeatable", 1400, 1500) + "," + ClassSettings("orders", "by_key", 1500, 1500) +
    R"(],"familyInfo":{"midKind":-1,"sourceKind":1,"siblings":"location","detail":"hit",
"passThroughOk":true,"canJoin":true,"classWrite":[false,false,true],"maxAgeMs":[0.0,12000.0,0.0],
"instancesByZone":[0,1],"purgeSlackMs":1000.0,"goneEverywhereMs":6000.0},"limits":{"maxAttempts":2,"cancel":true,
"connectTimeoutMs":400.0,"retryAfter":true,"maxRetryAfterMs":2000.0,"idleCloseMs":30000.0},
"rules":{"coldShare":0.2,"warmAfterMs":16000.0,"fallMultiple":2.5,"tipAfterMs":3000.0,"drainGraceMs":500.0,
"graceToAnswerMs":8.0},"weights":"off"})";

struct Response {
  int status = 0;
  std::string head;
  std::string body;
};
// Reads one request or response whose body, if any, has a Content-Length; returns the head.
std::string ReadMessage(TcpPeer& peer, std::string* body = nullptr) {
  const std::string head = peer.ReadUntil("\r\n\r\n") + "\r\n";
  const std::size_t position = head.find("Content-Length: ");
  const std::string content =
      position == std::string::npos ? "" : peer.ReadExactly(std::stoul(head.substr(position + 16)));
  if (body != nullptr) *body = content;
  return head;
}
// Reads one response.
Response ReadResponse(TcpPeer& client) {
  Response out;
  out.head = ReadMessage(client, &out.body);
  CHECK_OR_THROW(out.head.starts_with("HTTP/1.1 "));
  out.status = std::stoi(out.head.substr(9));
  return out;
}
std::string EncodeResponse(const std::string& status, const std::string& body,
                           const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
std::string EncodeGet(const std::string& target, const std::string& fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: scans.example.is\r\n" + fields + "\r\n";
}

// Claims, tokens and signed links as an issuer makes them.
// The issuer and time claims; `expires` and `from` are seconds relative to now.
std::string TimeClaims(double expires, double from = -60) {
  const double now = static_cast<double>(UnixMs()) / 1000;
  return R"("iss":"shop","exp":)" + std::to_string(now + expires) + R"(,"nbf":)" +
         std::to_string(now + from) + R"(,"iat":)" + std::to_string(now + from);
}
std::string SignToken(const std::string& key, const std::string& claims) {
  return SignCompact(Key::FromJwk(key, "key"), "{" + claims + "}");
}
// The signing package of a link to `uri` (RFC 9246).
std::string SignPackage(const std::string& uri, const std::string& times, const std::string& key = kSharedKey,
                        const std::string& more = R"(,"cdniv":1)") {
  return SignToken(key, times + more + R"(,"cdniuc":")" + HashContainer(kOrigin + uri) + "\"");
}
// The link with its signing package.
std::string LinkWithPackage(const std::string& uri, const std::string& package) {
  return uri + (uri.find('?') == std::string::npos ? "?" : "&") + "URISigningPackage=" + package;
}
std::string Bearer(const std::string& token) { return "Authorization: Bearer " + token + "\r\n"; }

// An entry of Consul's response to a health query.
std::string HealthEntry(const std::string& node, const std::string& status,
                        const std::string& check = "service:x") {
  return R"({"Node":{"Node":")" + node + R"("},"Service":{"ID":"c"},"Checks":[{"CheckID":")" + check +
         R"(","Status":")" + status + R"("}]})";
}
// An entry of Consul's response to a catalog query.
std::string CatalogEntry(const std::string& node, const TcpListener& server) {
  return R"({"Node":")" + node +
         R"(","Address":"127.0.0.1","ServiceID":"c","ServiceAddress":"","ServicePort":)" +
         std::to_string(server.port) + R"(,"ServiceMeta":{},"ServiceWeights":{"Passing":1}})";
}

// One real gateway with Consul, two caches and the origin played by the test. The first endpoint lists are in
// force when the constructor returns; the second cache is listed only with `has_second_cache`.
struct World {
  TcpListener consul, cache, second_cache, origin;
  std::string folder;
  std::unique_ptr<Program> program;
  std::map<std::string, TcpPeer> watches;  // by service; a blocking health query is open on each
  std::map<std::string, TcpPeer> catalogs;
  std::string last_health_query;  // the head of the last health query
  int port = 0;

  /// `stall_ms`: a client that takes nothing of its response for this long is closed. `more_fields` are added
  /// to the gateway's file, each with a comma behind it.
  explicit World(bool has_second_cache = false, const std::string& settings = kSettings, int stall_ms = 3000,
                 const std::string& more_fields = "") {
    char name[] = "/tmp/tinspan-test-XXXXXX";
    CHECK_OR_THROW(::mkdtemp(name) != nullptr);
    folder = std::string(name) + "/";
    Write("keys.json", R"({"keys":[)" + kSharedKey + ",{" + kPublicKeyFields + "}]}");
    Write("own.json", kGatewayKey);
    Write("operator.token", "an operator's long token\n");
    Write("consul.token", "consul-secret\n");
    Write("gateway.json",
          "{" + more_fields + R"("name":"gateway-north","listen":"127.0.0.1:0","origin":")" + kOrigin +
              R"(","audience":"north","keys_file":"keys.json","signing_key_file":"own.json","stall_ms":)" +
              std::to_string(stall_ms) + R"(,
          "operator_token_file":"operator.token","routes":[{"class":"scans","path":"/scans/","access":"either"},
          {"class":"pages","path":"/pages/","access":"token"},{"class":"orders","path":"/orders","access":"token"}],
          "consul":{"address":")" +
              consul.Address() + R"(","token_file":"consul.token","zone":"edge","services":[
          {"name":"shop-cache","kind":"box"},{"name":"main-stock","kind":"store"}]},"settings":)" +
              settings + "}");
    program = std::make_unique<Program>(
        std::vector<std::string>{"serve", "-f", folder + "gateway.json", "--log-level", "trace"},
        std::map<std::string, std::string>{});
    port = program->Port();
    AcceptWatch();
    AcceptWatch();
    SendList("main-stock", 3, HealthEntry("stock", "passing"), CatalogEntry("stock", origin));
    SendList("shop-cache", 7,
             HealthEntry("n1", "passing") + (has_second_cache ? "," + HealthEntry("n2", "warning") : ""),
             CatalogEntry("n1", cache) + (has_second_cache ? "," + CatalogEntry("n2", second_cache) : ""));
  }
  ~World() {
    for (const char* name : {"keys.json", "own.json", "operator.token", "consul.token", "gateway.json"}) {
      ::unlink((folder + name).c_str());
    }
    ::rmdir(folder.c_str());
  }
  void Write(const std::string& name, const std::string& text) { std::ofstream(folder + name) << text; }
  // Accepts the next watch and reads its health query.
  void AcceptWatch() {
    TcpPeer peer = consul.Accept();
    ReadHealthQuery(peer);
    const std::string service = last_health_query.substr(23, last_health_query.find('?') - 23);
    watches[service] = std::move(peer);
  }
  void ReadHealthQuery(TcpPeer& peer) {
    last_health_query = peer.ReadUntil("\r\n\r\n");
    CHECK_OR_THROW(last_health_query.starts_with("GET /v1/health/service/") &&
                   last_health_query.find("X-Consul-Token: consul-secret") != std::string::npos);
  }
  // Answers the blocking health query, and waits for the next one and for the catalog query.
  void SendHealth(const std::string& service, int index, const std::string& health) {
    TcpPeer& peer = watches.at(service);
    peer.Send(
        EncodeResponse("200 OK", "[" + health + "]", "X-Consul-Index: " + std::to_string(index) + "\r\n"));
    ReadHealthQuery(peer);
    if (!catalogs.contains(service)) catalogs[service] = consul.Accept();
    CHECK_OR_THROW(
        catalogs[service].ReadUntil("\r\n\r\n").starts_with("GET /v1/catalog/service/" + service + " "));
  }
  void SendCatalog(const std::string& service, const std::string& catalog) {
    const std::string body = "[" + catalog + "]";  // sent in chunks, as Consul sends long responses
    char size[16];
    std::snprintf(size, sizeof size, "%zx", body.size());
    catalogs.at(service).Send(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + size +
                              "\r\n" + body + "\r\n0\r\n\r\n");
  }
  // Answers both queries and waits until the endpoint list is in force.
  void SendList(const std::string& service, int index, const std::string& health,
                const std::string& catalog) {
    SendHealth(service, index, health);
    SendCatalog(service, catalog);
    program->ReadLogThrough("nodes listed: " + service);
  }
  TcpPeer Client() { return TcpPeer::Connect(port); }
  // Sends a new request; returns whether it reaches that server and its response the client.
  bool IsServedBy(TcpListener& server) {
    TcpPeer client = Client();
    client.Send(EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60)))));
    TcpPeer peer = server.Accept();
    ReadMessage(peer);
    peer.Send(EncodeResponse("200 OK", "page", "Connection: close\r\n"));
    return ReadResponse(client).body == "page";
  }
  // The status of the response to a request on a new connection.
  int Status(const std::string& request) {
    TcpPeer client = Client();
    client.Send(request);
    return ReadResponse(client).status;
  }
};

const std::string kScan = "/scans/estate/book.jpg?page=3";

TEST(HttpTest, ServesASignedLink) {
  World world;
  TcpPeer client = world.Client();
  // The same object in another spelling: the canonical form is verified and requested from the server.
  client.Send(
      EncodeGet(LinkWithPackage("/x/../scans/%65state/book.jpg?page=3", SignPackage(kScan, TimeClaims(60))),
                "Referer: https://a/?URISigningPackage=leak\r\nRange: bytes=0-\r\n"));
  TcpPeer server = world.cache.Accept();
  const std::string forwarded = ReadMessage(server);
  ASSERT_TRUE(forwarded.starts_with("GET " + kScan + "&URISigningPackage="));
  ASSERT_NE(forwarded.find("\r\nRange: bytes=0-\r\n"), std::string::npos);
  ASSERT_EQ(forwarded.find("leak"), std::string::npos);
  ASSERT_NE(forwarded.find("Host: scans.example.is\r\n"), std::string::npos);
  ASSERT_NE(forwarded.find("source=stock/c"), std::string::npos);
  // Signed again with the gateway's key: valid from now minus the leeway to the deadline plus the leeway.
  const std::string target = forwarded.substr(4, forwarded.find(" HTTP/1.1") - 4);
  const auto claims = KeySet::FromJwks(R"({"keys":[)" + kGatewayKey + "]}", "own")
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
  server.Send(EncodeResponse("200 OK", body, "ETag: \"e1\"\r\nCache-Status: c; hit\r\n"));
  const Response response = ReadResponse(client);
  ASSERT_EQ(response.status, 200);
  ASSERT_EQ(response.body, body);
  ASSERT_NE(response.head.find("ETag: \"e1\""), std::string::npos);
  // Both connections stay open. The response to HEAD has no body; chunks are forwarded unchanged.
  client.Send("HEAD " + LinkWithPackage(kScan, SignPackage(kScan, TimeClaims(60))) +
              " HTTP/1.1\r\nHost: scans.example.is\r\n\r\n");
  ASSERT_TRUE(ReadMessage(server).starts_with("HEAD "));
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
  ASSERT_NE(client.ReadUntil("\r\n\r\n").find("Content-Length: 300000"), std::string::npos);
  client.Send(EncodeGet(kScan, Bearer(SignToken(kSharedKey, TimeClaims(60)))));
  ASSERT_TRUE(ReadMessage(server).starts_with("GET " + kScan));
  server.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n");
  client.ReadUntil("\r\n\r\n");
  ASSERT_EQ(client.ReadUntil("0\r\nT: v\r\n\r\n"), "3;x=y\r\nabc\r\n");
  // No token is in the log.
  world.program->Signal(SIGTERM);
  ASSERT_EQ(world.program->Wait(), 0);
  ASSERT_EQ(world.program->log.find("eyJ"), std::string::npos);
}

TEST(HttpTest, RejectsInvalidLinks) {
  World world;
  const auto link = [&](const std::string& package) {
    return world.Status(EncodeGet(LinkWithPackage(kScan, package)));
  };
  const std::string valid_package = SignPackage(kScan, TimeClaims(60));
  std::string forged = valid_package;
  forged[forged.find('.') + 5] ^= 1;
  ASSERT_EQ(link(forged), 403);
  ASSERT_EQ(link(valid_package.substr(0, valid_package.rfind('.') + 1)), 403);  // no signature
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(-6))), 403);                     // expired, outside the leeway
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(60, 6))), 403);  // not valid yet, outside the leeway
  ASSERT_EQ(link(SignPackage("/scans/estate/other.jpg", TimeClaims(60))), 403);  // for another path
  ASSERT_EQ(link(SignPackage("/scans/estate/book.jpg", TimeClaims(60))), 403);   // for another query
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(60), kForgedKey)), 403);  // signed by another key with this id
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(60), kNextKey)),
            403);  // signed by a key that is not in the set
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(60), kSharedKey, "")), 403);  // no cdniv
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(60), kSharedKey, R"(,"cdniv":2)")), 403);
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(60), kSharedKey, R"(,"cdniv":1,"cdnicrit":"cdniip")")), 403);
  ASSERT_EQ(link(SignPackage(kScan, TimeClaims(60), kSharedKey, R"(,"cdniv":1,"aud":"south")")), 403);
  ASSERT_EQ(link(SignPackage(kScan, R"("iss":"shop")")), 403);  // never expires
  ASSERT_EQ(link(SignToken(kSharedKey, TimeClaims(60))), 403);  // a bearer token is no signing package
  // The algorithm must be that of the key: "none", a public key used as a shared secret, and unknown critical
  // headers are rejected.
  const auto forge = [&](const std::string& header, const std::string& secret) {
    const std::string payload = valid_package.substr(valid_package.find('.') + 1,
                                                     valid_package.rfind('.') - valid_package.find('.') - 1);
    const std::string input = tinspan::http::Base64Url(header) + "." + payload;
    if (secret.empty()) return input + ".";
    const std::string jwk =
        R"({"kty":"oct","kid":"x","alg":"HS256","k":")" + tinspan::http::Base64Url(secret) + "\"}";
    return input + "." + tinspan::http::Base64Url(Key::FromJwk(jwk, "x").Sign(input));
  };
  ASSERT_EQ(link(forge(R"({"alg":"none","kid":"shared-1"})", "")), 403);
  ASSERT_EQ(link(forge(R"({"alg":"HS256","kid":"pair-1"})", "{" + kPublicKeyFields + "}")), 403);
  const std::string secret =
      *tinspan::http::FromBase64Url(kSharedKey.substr(kSharedKey.find("\"k\":\"") + 5, 86));
  ASSERT_EQ(link(forge(R"({"alg":"HS256","kid":"shared-1","crit":["b64"],"b64":true})", secret)), 403);
  ASSERT_EQ(link(forge(R"({"alg":"HS256"})", secret)), 403);  // no key id
  ASSERT_EQ(world.Status(EncodeGet(LinkWithPackage(LinkWithPackage(kScan, valid_package), valid_package))),
            400);
  ASSERT_EQ(world.Status(EncodeGet(LinkWithPackage("/scans/estate%2Fbook.jpg?page=3", valid_package))), 400);
  ASSERT_EQ(world.Status("GET " + LinkWithPackage(kScan, valid_package) +
                         " HTTP/1.1\r\nHost: elsewhere.example\r\n\r\n"),
            421);
  ASSERT_EQ(world.Status(EncodeGet("/nowhere")), 404);
  ASSERT_TRUE(world.cache.HasNoConnectionFor(0));  // none of these was forwarded
}

TEST(HttpTest, AllowsForClockSkew) {
  World world;
  TcpPeer client = world.Client(), server;
  const std::string regex = SignToken(
      kSharedKey,
      TimeClaims(60) + R"(,"cdniv":1,"cdniuc":"regex:https://scans\\.example\\.is/scans/estate/.*")");
  bool first = true;
  for (const std::string& package :
       {SignPackage(kScan, TimeClaims(-3)), SignPackage(kScan, TimeClaims(60, 3)),
        SignPackage(kScan, TimeClaims(60), kKeyPair), regex}) {
    client.Send(EncodeGet(LinkWithPackage(kScan, package)));
    if (std::exchange(first, false)) server = world.cache.Accept();
    ReadMessage(server);
    server.Send(EncodeResponse("200 OK", "scan"));
    ASSERT_EQ(ReadResponse(client).body, "scan");
  }
}

// A link expires while its response is being transferred: the transfer is completed, a new request is
// rejected.
TEST(HttpTest, CompletesATransferThatOutlivesItsLink) {
  World world;
  TcpPeer client = world.Client();
  const std::string request = EncodeGet(
      LinkWithPackage(kScan, SignPackage(kScan, TimeClaims(-3.5))));  // within the leeway for 1.5 s more
  client.Send(request);
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
  client.ReadUntil("\r\n\r\n");
  ASSERT_EQ(client.ReadExactly(4), "half");
  for (const auto end = UnixMs() + kWaitLimitMs; world.Status(request) != 403;) {
    ASSERT_LT(UnixMs(), end);
    TcpPeer more = world.cache.Accept();  // still valid: answer it and try again
    ReadMessage(more);
    more.Send(EncodeResponse("200 OK", "", "Connection: close\r\n"));
  }
  server.Send("done");
  ASSERT_EQ(client.ReadExactly(4), "done");
}

TEST(HttpTest, ChecksTokens) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeGet("/pages/a"));
  Response response = ReadResponse(client);
  ASSERT_EQ(response.status, 401);
  ASSERT_NE(response.head.find("WWW-Authenticate: Bearer realm=\"north\"\r\n"), std::string::npos);
  for (const std::string& invalid_token :
       {SignToken(kSharedKey, TimeClaims(-6)), SignToken(kForgedKey, TimeClaims(60)),
        SignToken(kNextKey, TimeClaims(60)), SignPackage("/pages/a", TimeClaims(60)),
        SignToken(kSharedKey, TimeClaims(60) + R"(,"aud":["south"])")}) {
    client.Send(EncodeGet("/pages/a", Bearer(invalid_token)));
    response = ReadResponse(client);
    ASSERT_EQ(response.status, 401);
    ASSERT_NE(response.head.find("error=\"invalid_token\""), std::string::npos);
  }
  client.Send(
      EncodeGet("/pages/a", Bearer(SignToken(kKeyPair, TimeClaims(60) + R"(,"aud":["south","north"])"))));
  TcpPeer server = world.cache.Accept();
  const std::string forwarded = ReadMessage(server);
  ASSERT_EQ(forwarded.find("Authorization: Bearer "),
            forwarded.rfind("Authorization:"));  // the gateway's token replaces the client's
  ASSERT_EQ(forwarded.find(kKeyPair), std::string::npos);
  server.Send(EncodeResponse("404 Not Found", "no such page"));
  ASSERT_EQ(ReadResponse(client).body, "no such page");
  // Key rotation: the key set now holds only the next key.
  world.Write("keys.json", R"({"keys":[)" + kNextKey + "]}");
  world.program->Signal(SIGHUP);
  world.program->ReadLogThrough("keys read again");
  ASSERT_EQ(world.Status(EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60))))), 401);
  client.Send(EncodeGet("/pages/a", Bearer(SignToken(kNextKey, TimeClaims(60)))));
  ReadMessage(server);
  server.Send(EncodeResponse("200 OK", "page"));
  ASSERT_EQ(ReadResponse(client).body, "page");
}

std::string EncodeOrder(const std::string& key, const std::string& body) {
  return "POST /orders HTTP/1.1\r\nHost: scans.example.is\r\n" +
         Bearer(SignToken(kSharedKey, TimeClaims(60))) + key +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(HttpTest, ForwardsOrders) {
  World world;
  ASSERT_EQ(world.Status(EncodeOrder("", "one copy")), 400);  // no key
  ASSERT_EQ(world.Status(EncodeGet("/orders", Bearer(SignToken(kSharedKey, TimeClaims(60))))), 405);
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("Idempotency-Key: \"k-1\"\r\n", "one copy"));
  TcpPeer server = world.cache.Accept();
  std::string body;
  const std::string forwarded = ReadMessage(server, &body);
  ASSERT_TRUE(forwarded.starts_with("POST /orders HTTP/1.1"));
  ASSERT_NE(forwarded.find("Idempotency-Key: \"k-1\"\r\n"), std::string::npos);
  ASSERT_EQ(body, "one copy");
  ASSERT_NE(forwarded.find("source=stock/c"), std::string::npos);
  server.Send(EncodeResponse("201 Created", "reserved"));
  ASSERT_EQ(ReadResponse(client).status, 201);
}

// Guards against a 504 of another gateway being taken for a proof that an order never ran: the order was
// rejected, its client tried again, and it ran twice (docs/incidents/2026-12-04-order-ran-twice.md).
TEST(HttpTest, RejectsNoOrderAfterAGatewayTimeout) {
  std::string settings = kSettings;
  settings.replace(settings.find("by_key"), std::strlen("by_key"), "once");
  World world(false, settings);
  world.SendList("shop-cache", 8, "", "");  // without a cache the order is sent to the origin
  for (const char* const status :
       {"504 Gateway Timeout", "503 Service Unavailable", "429 Too Many Requests"}) {
    SCOPED_TRACE(status);
    TcpPeer client = world.Client();
    client.Send(EncodeOrder("", "one copy"));
    TcpPeer server = world.origin.Accept();
    ReadMessage(server);
    server.Send(EncodeResponse(status, "", "Connection: close\r\n"));
    EXPECT_EQ(ReadResponse(client).status, 502);
    EXPECT_TRUE(world.origin.HasNoConnectionFor(100));  // it is not sent again
  }
}

// Guards against an order that runs after its client had its final response: the server does not read, the
// system still holds the rest of the order, and delivers it once the server reads again.
TEST(HttpTest, RecallsAnUndeliveredOrderAtItsDeadline) {
  World world;
  world.SendList("shop-cache", 8, "", "");  // without a cache the order is sent to the origin
  const int buffer_size = 4096;
  ASSERT_EQ(::setsockopt(world.origin.Descriptor(), SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size),
            0);
  const std::string body(12'000, 'w');
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("Idempotency-Key: recalled\r\n", body));
  TcpPeer server = world.origin.Accept();
  ASSERT_GE(ReadResponse(client).status, 500);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(server.ReadFor(500).find(body), std::string::npos);
}

// Each response or failure of a server leads to a certain status for the client.
TEST(HttpTest, MapsUpstreamFailuresToStatuses) {
  const auto response_after = [](const std::function<void(TcpPeer&)>& act) {
    World world;  // a new one each time: the decision module remembers a server's failures
    TcpPeer client = world.Client();
    client.Send(EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60)))));
    while (client.IsSilentFor(10)) {  // as many attempts as the decision module makes, at either server
      for (TcpListener* const listener : {&world.cache, &world.origin}) {
        if (listener->HasNoConnectionFor(0)) continue;
        TcpPeer server = listener->Accept();
        ReadMessage(server);
        act(server);
        client.IsSilentFor(50);  // time for the client's response to arrive; the loop condition checks for it
      }
    }
    return ReadResponse(client);
  };
  const auto reply = [](const std::string& status) {
    return [=](TcpPeer& server) { server.Send(EncodeResponse(status, "", "Connection: close\r\n")); };
  };
  ASSERT_EQ(response_after(reply("401 Unauthorized")).status,
            502);  // the gateway's signature is at fault, not the client's
  ASSERT_EQ(response_after(reply("403 Forbidden")).status, 502);
  const Response overloaded = response_after(reply("429 Too Many Requests"));
  ASSERT_EQ(overloaded.status, 503);
  ASSERT_NE(overloaded.head.find("Retry-After: 2\r\n"), std::string::npos);
  ASSERT_EQ(response_after([](TcpPeer& server) { server.Reset(); }).status, 503);
  ASSERT_EQ(response_after([](TcpPeer& server) { server.Send("HTTP/1.1 200 OK\r\n\r\nno end"); }).status,
            503);  // the end of the body cannot be determined
  ASSERT_EQ(response_after([](TcpPeer& server) {
              server.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
            }).status,
            503);
}

// Guards against the bytes that a server sends after its response being taken for the response to the next
// client's request (docs/incidents/2026-12-04-second-response.md).
TEST(HttpTest, ServesNoSecondResponseOfAServer) {
  const std::string second = EncodeResponse("200 OK", "made for the first client");
  for (const std::string& surplus : {second, second.substr(0, 20), std::string("x")}) {
    SCOPED_TRACE(testing::Message() << surplus.size() << " bytes after the response");
    World world;
    const std::string authorization = Bearer(SignToken(kSharedKey, TimeClaims(60)));
    TcpPeer first_client = world.Client();
    first_client.Send(EncodeGet("/pages/a", authorization));
    TcpPeer server = world.cache.Accept();
    ReadMessage(server);
    server.Send(EncodeResponse("200 OK", "first") + surplus);
    ASSERT_EQ(ReadResponse(first_client).body, "first");

    TcpPeer next_client = world.Client();
    next_client.Send(EncodeGet("/pages/b", authorization));
    ASSERT_FALSE(world.cache.HasNoConnectionFor(1000)) << "the connection was used again";
    TcpPeer next_server = world.cache.Accept();
    ReadMessage(next_server);
    next_server.Send(EncodeResponse("200 OK", "next"));
    EXPECT_EQ(ReadResponse(next_client).body, "next");
    EXPECT_TRUE(server.ReadToEnd().empty());
  }
}

TEST(HttpTest, AnswersAtTheDeadline) {
  World world;
  TcpPeer client = world.Client();
  const auto start = UnixMs();
  client.Send(EncodeOrder("Idempotency-Key: k\r\n", ""));
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  const Response response = ReadResponse(client);
  ASSERT_EQ(response.status, 504);
  ASSERT_LT(UnixMs() - start, 1'550);
  ASSERT_TRUE(server.ReadToEnd().empty());  // the attempt's connection is closed as well
}

// A response that breaks off or stalls must be recognizable as truncated: the client gets less than
// Content-Length and the connection ends.
TEST(HttpTest, BreaksOffATruncatedResponse) {
  World world;
  for (const bool silent : {false, true}) {
    TcpPeer client = world.Client();
    client.Send(EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60)))));
    TcpPeer server = world.cache.Accept();
    ReadMessage(server);
    server.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    client.ReadUntil("\r\n\r\n");
    ASSERT_EQ(client.ReadExactly(4), "half");
    if (!silent) server.Reset();
    ASSERT_TRUE(client.ReadToEnd().empty());
  }
}

// While a client does not read, the gateway stops reading from the server. Once it reads again, all data
// arrives.
TEST(HttpTest, AppliesBackpressureToServers) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60)))));
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  const std::size_t total = 64 << 20;
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(total) + "\r\n\r\n");
  const std::string block(1 << 20, 'x');
  const std::size_t pushed = server.SendUntilBlocked(block, total);
  ASSERT_LT(pushed, total);  // the gateway does not buffer all of it
  client.ReadUntil("\r\n\r\n");
  for (std::size_t sent = pushed, received = 0; received < total; received += 1 << 20) {
    if (sent < total) sent += server.SendUntilBlocked(block, total - sent);
    client.ReadExactly(1 << 20);
  }
}

// Guards against a client that reads steadily but slowly being closed as if it read nothing: the system
// accepts more bytes for such a client only after longer than the stall timeout.
TEST(HttpTest, KeepsASlowReader) {
  constexpr double kBytesPerSecond = 1e6;
  World world(false, kSettings, 1000);
  TcpPeer client = TcpPeer::Connect(world.port, 65'536);
  client.Send(EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60)))));
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  const std::string body(8 << 20, 'x');
  TestThread sender([&] { server.Send(EncodeResponse("200 OK", body)); });
  EXPECT_EQ(client.ReadPaced(body.size(), kBytesPerSecond).size(), body.size());
}

TEST(HttpTest, FollowsConsul) {
  World world(true);
  ASSERT_NE(world.last_health_query.find("?index=7&wait=30s"), std::string::npos);
  const auto served_by = [&](TcpListener& server) { return world.IsServedBy(server); };
  // A node in maintenance drains, a critical node is removed, a node with a warning is up. In both cases the
  // other node serves.
  const std::string both = CatalogEntry("n1", world.cache) + "," + CatalogEntry("n2", world.second_cache);
  world.SendList("shop-cache", 8,
                 HealthEntry("n1", "critical", "_service_maintenance:c") + "," + HealthEntry("n2", "warning"),
                 both);
  ASSERT_TRUE(served_by(world.second_cache));
  world.SendList("shop-cache", 9, HealthEntry("n1", "passing") + "," + HealthEntry("n2", "critical"), both);
  ASSERT_TRUE(served_by(world.cache));
  world.SendList("shop-cache", 10, HealthEntry("n1", "passing"),
                 CatalogEntry("n1", world.cache));  // a node that is not listed is removed
  ASSERT_TRUE(served_by(world.cache));
  // After an index that decreased, the next query starts again from 0.
  world.SendList("shop-cache", 4, HealthEntry("n1", "passing"), CatalogEntry("n1", world.cache));
  ASSERT_NE(world.last_health_query.find("?index=0&"), std::string::npos);
  // After a failed query the list stays in force and the query is repeated.
  world.watches.at("shop-cache").Send(EncodeResponse("500 Internal Server Error", "no leader"));
  world.AcceptWatch();
  ASSERT_TRUE(served_by(world.cache));
  world.watches.at("shop-cache").Reset();
  world.AcceptWatch();
  ASSERT_TRUE(served_by(world.cache));
}

// Health of known nodes is applied at once, even if the catalog never responds, and further health responses
// are applied meanwhile. The catalog's response is still applied when it comes.
TEST(HttpTest, AppliesHealthBeforeTheCatalog) {
  World world(true);
  const auto served_by = [&](TcpListener& server) { return world.IsServedBy(server); };
  const auto wait_for_changes = [&] { world.program->ReadLogThrough("shop-cache: 1 changes"); };
  world.SendHealth("shop-cache", 8, HealthEntry("n1", "critical") + "," + HealthEntry("n2", "passing"));
  wait_for_changes();
  ASSERT_TRUE(served_by(world.second_cache));
  ASSERT_TRUE(world.cache.HasNoConnectionFor(0));
  TcpPeer& watch = world.watches.at("shop-cache");  // the catalog query is still unanswered
  watch.Send(EncodeResponse(
      "200 OK",
      "[" + HealthEntry("n1", "critical") + "," + HealthEntry("n2", "critical", "_node_maintenance") + "]",
      "X-Consul-Index: 9\r\n"));
  wait_for_changes();
  ASSERT_TRUE(served_by(world.origin));
  ASSERT_TRUE(world.second_cache.HasNoConnectionFor(0));
  world.ReadHealthQuery(watch);
  ASSERT_NE(world.last_health_query.find("?index=9&"), std::string::npos);
  watch.Send(EncodeResponse("200 OK",
                            "[" + HealthEntry("n1", "passing") + "," + HealthEntry("n2", "critical") + "]",
                            "X-Consul-Index: 10\r\n"));
  wait_for_changes();
  world.ReadHealthQuery(watch);
  // n1 was removed: only the catalog tells whether it is back at its address.
  const std::string both = CatalogEntry("n1", world.cache) + "," + CatalogEntry("n2", world.second_cache);
  world.SendCatalog("shop-cache", both);
  wait_for_changes();
  // Health has changed since that catalog query: the catalog is queried again.
  ASSERT_TRUE(world.catalogs.at("shop-cache").ReadUntil("\r\n\r\n").starts_with("GET /v1/catalog/service/"));
}

// Guards against a second response of Consul being taken for the response to the next query: the gateway's
// endpoint list then stays one change behind.
TEST(HttpTest, AppliesNoSecondResponseOfConsul) {
  World world(true);
  const std::string response =
      EncodeResponse("200 OK", "[" + HealthEntry("n1", "critical") + "," + HealthEntry("n2", "passing") + "]",
                     "X-Consul-Index: 8\r\n");
  world.watches.at("shop-cache").Send(response + response);
  world.program->ReadLogThrough("shop-cache: 1 changes");
  ASSERT_FALSE(world.consul.HasNoConnectionFor(1000)) << "the connection was used again";
}

// A node that appears after the first list is new and its cache is cold. As long as its capacity is unknown,
// the decision module sends its requests to the origin.
TEST(HttpTest, WarmsUpNewNodes) {
  World world;
  world.SendList("shop-cache", 8, HealthEntry("n1", "critical") + "," + HealthEntry("n2", "passing"),
                 CatalogEntry("n1", world.cache) + "," + CatalogEntry("n2", world.second_cache));
  TcpPeer client = world.Client();
  client.Send(EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60)))));
  TcpPeer origin = world.origin.Accept();
  ReadMessage(origin);
  origin.Send(EncodeResponse("200 OK", "page"));
  ASSERT_EQ(ReadResponse(client).body, "page");
  ASSERT_TRUE(world.second_cache.HasNoConnectionFor(0));
}

TEST(HttpTest, PurgesForOperators) {
  World world;
  const auto purge = [&](const std::string& token, const std::string& body) {
    return world.Status("POST /-/purge HTTP/1.1\r\nHost: x\r\n" + Bearer(token) +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  const std::string body = R"({"object":"/scans/estate/book.jpg?page=3"})";
  ASSERT_EQ(purge("a guess of the same size", body), 401);
  ASSERT_EQ(purge(SignToken(kSharedKey, TimeClaims(60)), body),
            401);  // a client's token is not an operator's
  ASSERT_EQ(purge("an operator's long token", R"({"colour":1})"), 400);
  ASSERT_EQ(world.Status(EncodeGet("/-/healthy")), 200);
  ASSERT_EQ(purge("an operator's long token", body), 204);
  const auto start = UnixMs();
  while (UnixMs() < start + 1'100) ::usleep(10'000);
  TcpPeer client = world.Client();
  client.Send(EncodeGet(LinkWithPackage(kScan, SignPackage(kScan, TimeClaims(60)))));
  TcpPeer server = world.cache.Accept();
  const std::string forwarded = ReadMessage(server);
  ASSERT_NE(forwarded.find("Cache-Control: max-age=1\r\n"), std::string::npos);
  server.Send(EncodeResponse("200 OK", "old", "Age: 60\r\n"));  // older than the purge: not forwarded
  TcpPeer next = world.origin.Accept();
  ReadMessage(next);
  next.Send(EncodeResponse("200 OK", "new"));
  ASSERT_EQ(ReadResponse(client).body, "new");
}

// A client with a request in flight pipelines more than one read buffer holds and disconnects: its attempt is
// cancelled at once, although the end of the connection is behind unread input.
TEST(HttpTest, AbortsAttemptsOfADisconnectedClient) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeGet(kScan, Bearer(SignToken(kSharedKey, TimeClaims(60)))));
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  const std::string more(200'000, 'x');
  ASSERT_GT(client.SendUntilBlocked(more, more.size()), 0);
  const auto closed_at = UnixMs();
  client.Reset();
  ASSERT_TRUE(server.ReadToEnd().empty());
  ASSERT_LT(UnixMs() - closed_at, 700);  // not at the deadline, 1.5 s from the start
}

// Guards against a request that reaches the wrong server: it waited for a connection while its node moved,
// and was written to whatever came up at the address that the node had left.
TEST(HttpTest, SendsNothingToAnAddressThatTheNodeHasLeft) {
  std::string settings = kSettings;
  const std::string timeout = R"("connectTimeoutMs":400.0)";
  settings.replace(settings.find(timeout), timeout.size(), R"("connectTimeoutMs":3000.0)");
  World world(false, settings);
  FullBacklog backlog(world.cache);
  TcpPeer client = world.Client();
  client.Send(EncodeGet(kScan, Bearer(SignToken(kSharedKey, TimeClaims(60)))));
  ASSERT_EQ(world.Status(EncodeGet("/nosuch", "")), 404);
  world.SendList("shop-cache", 8, HealthEntry("n1", "passing"), CatalogEntry("n1", world.second_cache));
  TcpPeer stranger = backlog.AcceptNext();
  EXPECT_TRUE(stranger.ReadFor(300).empty());
}

// Guards against requests that hold up others: a head of thousands of short fields, each of them compared
// with a long list of connection options, took tens of milliseconds.
TEST(HttpTest, RejectsAHeadOfVeryManyFields) {
  World world;
  std::string options, fields;
  for (int i = 0; i < 2'000; ++i) options += "a,";
  for (int i = 0; i < 4'000; ++i) fields += "a:\r\n";
  const std::string head = EncodeGet(kScan, "Connection: " + options + "\r\n" + fields);
  const std::int64_t start_ms = UnixMs();
  for (int i = 0; i < 20; ++i) ASSERT_EQ(world.Status(head), 431);
  EXPECT_LT(UnixMs() - start_ms, 500);
  // An ordinary number of fields is forwarded.
  std::string some;
  for (int i = 0; i < 50; ++i) some += "X-" + std::to_string(i) + ": a\r\n";
  TcpPeer client = world.Client();
  client.Send(EncodeGet(kScan, Bearer(SignToken(kSharedKey, TimeClaims(60))) + some));
  TcpPeer server = world.cache.Accept();
  EXPECT_NE(ReadMessage(server).find("X-49: a\r\n"), std::string::npos);
}

// Guards against requests that hundreds of clients have sent in part passing the memory limit, which the
// gateway read and did not heed, and against these clients keeping others from being heard.
TEST(HttpTest, StaysUnderItsLimitWhileHundredsStopHalfWayThroughARequest) {
  constexpr std::size_t kMemoryBytes = 64 << 20;
  constexpr std::size_t kClients = 200;
  constexpr std::size_t kBodyBytes = 1'000'000;
  constexpr std::size_t kOrderBytes = 48'000;
  TcpListener free_port;
  const int admin_port = free_port.port;
  free_port.Close();
  World world(false, kSettings, 3000,
              R"("limits":{"memory_mb":64,"sockets":1024},"most_body_bytes":1000000,"ops":"127.0.0.1:)" +
                  std::to_string(admin_port) + "\",");
  const auto order_head = [](std::size_t body_bytes) {
    return "POST /orders/1 HTTP/1.1\r\nHost: scans.example.is\r\nIdempotency-Key: k\r\n" +
           Bearer(SignToken(kSharedKey, TimeClaims(60))) + "Content-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n";
  };
  const std::string partial_order = order_head(kBodyBytes) + std::string(kBodyBytes / 10 * 9, 'x');
  std::vector<TcpPeer> stopped;
  for (std::size_t number = 0; number < kClients; ++number) stopped.push_back(world.Client());
  std::vector<std::size_t> sent(kClients, 0);
  for (const auto end_ms = UnixMs() + 2000; UnixMs() < end_ms;) {
    for (std::size_t number = 0; number < kClients; ++number) {
      const std::string_view rest = std::string_view(partial_order).substr(sent[number]);
      const ssize_t count =
          ::send(stopped[number].Descriptor(), rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) sent[number] += static_cast<std::size_t>(count);
    }
  }
  ExpectResidentUnder(world.program->Pid(), kMemoryBytes);
  TcpPeer caller = TcpPeer::Connect(admin_port);
  caller.Send("stats\n");
  const std::string statistics = caller.ReadToEnd();
  const std::string name = "\nproxy_request_buffer_bytes ";
  ASSERT_NE(statistics.find(name), std::string::npos);
  EXPECT_LE(std::stoul(statistics.substr(statistics.find(name) + name.size())), kMemoryBytes / 8);
  EXPECT_EQ(world.Status(EncodeGet("/-/healthy")), 200);
  // Another client's order is received and answered meanwhile.
  const std::string body(kOrderBytes, 'y');
  TcpPeer client = world.Client();
  client.Send(order_head(kOrderBytes) + body);
  TcpPeer server = world.cache.Accept();
  std::string received;
  ReadMessage(server, &received);
  EXPECT_EQ(received, body);
  server.Send(EncodeResponse("200 OK", "done"));
  EXPECT_EQ(ReadResponse(client).body, "done");
  ExpectResidentUnder(world.program->Pid(), kMemoryBytes);
}

// Guards against the end of the process: the table was full, and the client that had been idle longest was
// evicted for a newcomer in the round in which its request was read. The request outlived its connection, and
// its response was forwarded to a client that was gone.
TEST(HttpTest, EvictsNoClientThatHasJustAsked) {
  World world(false, kSettings + R"(,"limits":{"sockets":64})");
  constexpr int kMaxClients = 64 / 3;
  std::vector<TcpPeer> idle;
  for (int i = 0; i < kMaxClients; ++i) {
    idle.push_back(world.Client());
    idle.back().Send(EncodeGet("/nosuch", ""));
    ASSERT_EQ(ReadResponse(idle.back()).status, 404);
  }
  const std::string request = EncodeGet(kScan, Bearer(SignToken(kSharedKey, TimeClaims(60))));
  TcpPeer newcomer;
  {
    const StoppedProgram stopped(*world.program);
    idle[0].Send(request);
    newcomer = world.Client();
    newcomer.Send(EncodeGet("/nosuch", ""));
  }
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  server.Send(EncodeResponse("200 OK", "page"));
  EXPECT_EQ(ReadResponse(idle[0]).body, "page");
  EXPECT_EQ(ReadResponse(newcomer).status, 404);
  EXPECT_TRUE(idle[1].ReadToEnd().empty());  // the one that was idle next longest made room
}

// During a shutdown, a part of a request arrives just when the gateway stops accepting, and the rest later:
// the request is answered.
TEST(HttpTest, ReceivesARequestStillBeingWrittenDuringShutdown) {
  World world;
  TcpPeer client = world.Client(), other = world.Client();
  const std::string request = EncodeGet(kScan, Bearer(SignToken(kSharedKey, TimeClaims(60))));
  client.Send(request.substr(0, 10));
  other.Send(EncodeGet("/-/healthy"));
  ASSERT_EQ(ReadResponse(other).status, 200);
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  {
    const StoppedProgram stopped(*world.program);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));  // past the end of accepting
    client.Send(request.substr(10, 10));
    other.Send(EncodeGet("/-/healthy"));
  }
  ASSERT_EQ(ReadResponse(other).status, 503);  // the event loop iteration that ends accepting has run
  client.Send(request.substr(20));
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  server.Send(EncodeResponse("200 OK", "page"));
  ASSERT_EQ(ReadResponse(client).body, "page");
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

// Messages that are too large, or whose end two parsers could see at different places, are rejected, and the
// connection ends.
// Guards against a connection being ended by a shutdown once the system has taken the response, though the
// client has not: with its next request already written, the rest of the response was lost.
TEST(HttpTest, DeliversAResponseToASlowReaderDuringShutdown) {
  World world;
  TcpPeer client = TcpPeer::Connect(world.port, 65'536);
  const std::string request = EncodeGet("/pages/a", Bearer(SignToken(kSharedKey, TimeClaims(60))));
  client.Send(request);
  TcpPeer server = world.cache.Accept();
  ReadMessage(server);
  const std::string body(2'000'000, 'x');
  server.Send(EncodeResponse("200 OK", body));
  std::string received;
  TestThread reader([&] { received = client.ReadPaced(body.size(), 1e6); });
  world.program->Signal(SIGTERM);
  // Requests are rejected by now, and the first response takes half a second more.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  client.Send(request);
  reader.Join();
  received += client.ReadToEnd();
  const std::size_t head_bytes = received.find("\r\n\r\n") + 4;
  ASSERT_GE(received.size(), head_bytes + body.size());
  EXPECT_EQ(received.substr(head_bytes, body.size()), body);
  EXPECT_TRUE(received.substr(head_bytes + body.size()).starts_with("HTTP/1.1 503"));
  EXPECT_EQ(world.program->Wait(), 0);
}

TEST(HttpTest, RejectsAmbiguousMessages) {
  World world;
  const std::string host = "Host: scans.example.is\r\n";
  const auto rejected_status = [&](const std::string& request) {
    TcpPeer client = world.Client();
    client.Send(request);
    const int status = ReadResponse(client).status;
    CHECK_OR_THROW(client.ReadToEnd().empty());
    return status;
  };
  const std::string post = "POST /orders HTTP/1.1\r\n" + host;
  ASSERT_EQ(rejected_status(post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400);
  ASSERT_EQ(rejected_status(post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"), 400);
  ASSERT_EQ(rejected_status(post + "Content-Length: +5\r\n\r\nhello"), 400);
  ASSERT_EQ(rejected_status(post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 411);
  ASSERT_EQ(rejected_status(post + "Content-Length: 48001\r\n\r\n"), 413);
  ASSERT_EQ(rejected_status("GET / HTTP/1.1\r\n\r\n"), 400);
  ASSERT_EQ(rejected_status("GET / HTTP/1.1\r\n" + host + host + "\r\n"), 400);
  ASSERT_EQ(rejected_status("GET / HTTP/1.1\r\n" + host + " folded\r\n\r\n"), 400);
  ASSERT_EQ(rejected_status("GET / HTTP/1.1\r\n" + host + "A : b\r\n\r\n"), 400);
  ASSERT_EQ(rejected_status("GET / HTTP/1.1\r\n" + host + "A: b\nC: d\r\n\r\n"), 400);
  ASSERT_EQ(rejected_status("GET / HTTP/1.0\r\n" + host + "\r\n"), 505);
  ASSERT_EQ(rejected_status("GET /" + std::string(9'000, 'a') + " HTTP/1.1\r\n" + host + "\r\n"), 414);
  ASSERT_EQ(rejected_status("GET / HTTP/1.1\r\n" + host + "A: " + std::string(30'000, 'a') + "\r\n\r\n"),
            431);
}

}  // namespace
