// The wire adapter: lines of text in, one Router for each instance, lines of text out. It decides nothing.
#pragma once

#include <iosfwd>

namespace tinspan::drill {

// Plays batches from `in` until it ends and writes one flushed reply for each to `out`.
// Returns 0 at the end of input, or 2 after a plain message on `err` if a line is malformed.
int Play(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace tinspan::drill
