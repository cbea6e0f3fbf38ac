// Tests of JWS signatures and request targets, with the examples of their specifications.
#include "front/http/jws.hpp"

#include <gtest/gtest.h>

#include "front/http/uri.hpp"

namespace tinspan::http {
namespace {

// The encoded payload of the examples in RFC 7515, A.1 and A.3.
const std::string kPayload =
    "eyJpc3MiOiJqb2UiLA0KICJleHAiOjEzMDA4MTkzODAsDQogImh0dHA6Ly9leGFtcGxlLmNvbS9pc19yb290Ijp0cnVlfQ";

// Guards against accepting a signature of another payload or an all-zero signature.
TEST(Jws, VerifiesTheExamplesOfRfc7515) {
  const Key shared_secret =
      Key::FromJwk(R"({"kty":"oct","kid":"a","alg":"HS256","k":"AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-)"
                   R"(EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow"})",
                   "key");
  EXPECT_TRUE(shared_secret.Verify("eyJ0eXAiOiJKV1QiLA0KICJhbGciOiJIUzI1NiJ9." + kPayload,
                                   *FromBase64Url("dBjftJeZ4CVP-mB92K27uhbUJU1p1r_wW1gFWFOEjXk")));
  const Key public_key = Key::FromJwk(R"({"kty":"EC","crv":"P-256","kid":"b","alg":"ES256",)"
                                      R"("x":"f83OJ3D2xF1Bg8vub9tLe1gHMzV76e8Tus9uPHvRVEU",)"
                                      R"("y":"x_FEzRu9m36HLN_tue659LNpXW6pCyStikYjKIWI5a0"})",
                                      "key");
  const std::string signature = *FromBase64Url(
      "DtEhU3ljbEg8L38VWAfUAqOyKAM6-Xx-F4GawxaepmXFCgfTjDxw5djxLa8ISlSApmWQxfKTUJqPP3-Kg6NU1Q");
  EXPECT_TRUE(public_key.Verify("eyJhbGciOiJFUzI1NiJ9." + kPayload, signature));
  EXPECT_FALSE(public_key.Verify("eyJhbGciOiJFUzI1NiJ9." + kPayload + "A", signature));
  EXPECT_FALSE(public_key.Verify("eyJhbGciOiJFUzI1NiJ9." + kPayload, std::string(64, '\0')));
  EXPECT_FALSE(public_key.CanSign());
}

// Guards against several encodings of one token: stray bits, padding, the other alphabet, white space.
TEST(Jws, DecodesOnlyCanonicalBase64Url) {
  EXPECT_EQ(FromBase64Url("AQ"), "\x01");
  for (const char* bad : {"AR", "A", "AQ==", "A+8_", "A Q"}) EXPECT_FALSE(FromBase64Url(bad)) << bad;
}

// Guards against verifying one URI and routing another: equivalent targets have one form, and ambiguous ones
// are rejected.
TEST(Uri, HasOneCanonicalForm) {
  const auto target = ParseTarget("/a/./b/%7euser/../%c3%b6?x=1&URISigningPackage=t.t.t&y=%2f");
  ASSERT_TRUE(target);
  EXPECT_EQ(target->Uri(), "/a/b/%C3%B6?x=1&y=%2F");
  EXPECT_EQ(target->signed_jwt, "t.t.t");
  EXPECT_EQ(ParseTarget("/a/../../..")->path, "/");
  for (const char* bad : {"a", "/%", "/%2", "/%zz", "/a%2fb", "/a%5Cb", "/%00", "/a b", "/a#b", "/a\\b"}) {
    EXPECT_FALSE(ParseTarget(bad)) << bad;
  }
}

}  // namespace
}  // namespace tinspan::http
