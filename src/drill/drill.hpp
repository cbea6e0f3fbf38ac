// The simulator's adapter: reads events as lines of text, passes them to one Router per instance and writes
// the actions as lines of text. It makes no routing decisions.
#pragma once

#include <iosfwd>

namespace tinspan::drill {

/// Processes batches of events from `in` until it ends; writes and flushes one reply to `out` for each batch.
/// Returns 0 at the end of the input. If a line is malformed, writes a message to `err` and returns 2.
int RunAdapter(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace tinspan::drill
