// The gauges that show what the memory of an instance consists of, the same for both fronts.
#pragma once

#include <cstddef>

#include "net/connection.hpp"
#include "ops/ops.hpp"

namespace tinspan::front {

/// What the buffers of a set of connections hold, in bytes of memory.
struct BufferSizes {
  std::size_t read_bytes = 0;
  std::size_t write_bytes = 0;

  void Add(const net::Connection& connection) {
    read_bytes += connection.ReadBufferBytes();
    write_bytes += connection.WriteQueueBytes();
  }
};

/// Adds the gauges of the process and of the buffers towards clients and servers.
void AddMemoryStatistics(const BufferSizes& clients, const BufferSizes& servers, ops::Statistics& statistics);

}  // namespace tinspan::front
