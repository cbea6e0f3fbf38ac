#include "front/memory_statistics.hpp"

#include "net/process_memory.hpp"

namespace tinspan::front {

void AddMemoryStatistics(const BufferSizes& clients, const BufferSizes& servers,
                         ops::Statistics& statistics) {
  const auto add_gauge = [&statistics](const char* name, std::size_t value) {
    statistics.more.push_back({name, "gauge", value});
  };
  const net::ProcessMemory memory = net::ReadProcessMemory();
  add_gauge("resident_bytes", memory.resident_bytes);
  add_gauge("heap_used_bytes", memory.heap_used_bytes);
  add_gauge("heap_free_bytes", memory.heap_free_bytes);
  add_gauge("heap_mapped_bytes", memory.mapped_bytes);
  add_gauge("client_read_buffer_bytes", clients.read_bytes);
  add_gauge("client_write_queue_bytes", clients.write_bytes);
  add_gauge("server_read_buffer_bytes", servers.read_bytes);
  add_gauge("server_write_queue_bytes", servers.write_bytes);
}

}  // namespace tinspan::front
