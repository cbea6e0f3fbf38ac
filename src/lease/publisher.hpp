// A duty's effects on a store that knows nothing of leases, without I/O: one record, replaced by
// compare-and-set. Each write carries the fencing token and the next number. A new holder reads, claims
// with a write of its own, and goes on from the number it found: nothing is lost, nothing is done twice, and
// a write of an older holder that is still under way fails on the index.
//
// Guarded against: a write whose answer was lost (read again: it stands there or it does not), a holder that
// was stopped between its look at the lease and its write (the index), a record of a newer token (the lease
// is given up), a record that is not ours (left alone, and said), and a store that fails (asked again later,
// ever slower).
#pragma once

#include <optional>
#include <string>

#include "lease/lease_node.hpp"

namespace tinspan::lease {

// What stands in the store. Index 0: there is no record yet.
struct Stored {
  std::uint64_t index = 0;
  Token token = kNoToken;
  std::uint64_t number = 0;
};

struct Ask {
  enum class What { kRead, kWrite } what = What::kRead;
  std::uint64_t index = 0;  // write: only where the record's index is still this one
  Token token = kNoToken;
  std::uint64_t number = 0;
};

class Publisher {
 public:
  static constexpr Micros kFirstWait{200'000}, kMostWait{5'000'000};
  explicit Publisher(Micros every) : every_(every) {}

  // What to ask the store now, under the token held now; none while an answer is out or nothing is due.
  std::optional<Ask> Next(Micros now, std::optional<Token> held);
  // The answer to a read: what stands there. True: a newer token, the lease is to be given up.
  bool OnRead(Micros now, const Stored& stored);
  // A write was answered. Whichever way, the next step is a read: it tells the index for the next write too.
  void OnWrite() { out_ = false; }
  // No answer, or one that cannot be read.
  void OnFailed(Micros now);
  bool Waiting() const { return out_; }
  Micros NextDue() const { return out_ ? Micros::max() : due_; }

  std::uint64_t Position() const { return number_; }
  std::uint64_t Published() const { return published_; }
  std::uint64_t Failures() const { return failures_; }
  std::uint64_t Fenced() const { return fenced_; }  // writes that met a newer record

 private:
  Micros every_;
  Micros due_{0};
  bool out_ = false;
  bool read_ = false;  // what stands there is known: the next step is a write
  Token held_ = kNoToken;
  Stored stored_;
  std::uint64_t number_ = 0;
  std::uint64_t wrote_ = 0;  // the number of a write whose fate is not known yet
  Token wrote_under_ = kNoToken;
  int failed_ = 0;
  std::uint64_t published_ = 0, failures_ = 0, fenced_ = 0;
};

}  // namespace tinspan::lease
