// A non-blocking TCP connection with a bounded read buffer and a bounded write queue, independent of the
// application protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "net/endpoint.hpp"
#include "net/event_loop.hpp"
#include "net/memory_budget.hpp"
#include "net/read_buffer.hpp"
#include "net/write_queue.hpp"

namespace tinspan::net {

/// A TCP connection registered with one event loop. Its owner receives its events and must outlive it. Not
/// thread-safe.
class Connection final : public EventLoop::Sink {
 public:
  /// Receives the events of a connection.
  class Owner {
   public:
    /// An outgoing connection was established.
    virtual void OnOpen(Connection&) {}
    /// Bytes were added to Unread(), or ScheduleRead() was called.
    virtual void OnData(Connection&) = 0;
    /// The write queue is empty again.
    virtual void OnDrained(Connection&) {}
    /// The peer closed the connection, or it failed. Called at most once, and not after Close().
    virtual void OnClosed(Connection&) = 0;

   protected:
    ~Owner() = default;
  };
  /// Bounds on memory, and the handling of a peer's shutdown.
  struct Limits {
    /// Maximum unread bytes in the buffer; further bytes stay in the socket until some are consumed.
    std::size_t max_read_bytes = 1 << 20;
    /// Maximum bytes in the write queue; a Write that exceeds it closes the connection.
    std::size_t max_write_bytes = 8 << 20;
    /// Whether the connection is closed as soon as the peer shuts down its sending side. Unread bytes are
    /// dropped, since the peer does not wait for a response any more. Otherwise they are read first.
    bool close_on_peer_shutdown = false;
    /// Whether a close drops what the peer's system has not acknowledged, by a reset. Otherwise the system
    /// goes on delivering it after the close.
    bool drop_undelivered_on_close = false;
    /// The budget for a read buffer of more than `unreserved_read_bytes`; null: not bounded together with
    /// other connections. Once half of the budget is used, a larger buffer is made only for a message whose
    /// size is known (ExpectMessage), and for the whole message at once, so that connections with a part of a
    /// message each cannot keep one another from receiving the rest.
    MemoryBudget* read_budget = nullptr;
    std::size_t unreserved_read_bytes = 4096;
    /// Bytes of the budget that each byte of such a buffer takes: 2 where the owner copies a message to a
    /// write queue that counts towards the same budget while the buffer still holds the message.
    std::size_t reserved_bytes_per_byte = 1;
    /// The budget that the write queue counts towards; it may exceed it. Null: not counted.
    MemoryBudget* write_budget = nullptr;
  };

  /// Takes ownership of an accepted socket.
  Connection(EventLoop& loop, Fd accepted, Owner& owner, Limits limits);
  /// Starts connecting to `peer`. An immediate failure is reported by OnClosed in the next round, as any
  /// later one.
  Connection(EventLoop& loop, const Endpoint& peer, Owner& owner, Limits limits);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  bool IsOpen() const { return state_ == State::kOpen; }
  bool IsClosed() const { return state_ == State::kClosed; }
  /// Whether connecting failed because of this process or machine, which says nothing about the peer.
  bool FailedLocally() const { return has_failed_locally_; }

  /// The bytes received and not consumed yet. The view stays valid until the next Consume() or event round.
  std::string_view Unread() const { return read_buffer_.Unread(); }
  /// Whether a new exchange may begin on this connection: it is open, and the peer has sent nothing that was
  /// not consumed. With a protocol whose responses carry no id, such bytes would be taken for the beginning
  /// of the next response.
  bool IsReusable() const { return IsOpen() && Unread().empty() && !HasPendingInput(); }
  /// Removes the first `bytes` bytes of Unread().
  void Consume(std::size_t bytes);
  /// Raises the read limit to hold the message at the front of Unread(), which has `bytes` bytes in total.
  void ExpectMessage(std::size_t bytes) { expected_message_bytes_ = bytes; }
  /// While paused nothing is read, so TCP flow control stops the sender. Unread() keeps its bytes.
  void SetReadPaused(bool paused);
  /// Whether input is left in the socket: reading is paused, or the read budget is used up.
  bool IsReadPaused() const { return is_read_paused_ || read_reservation_.IsWaiting(); }
  /// Tries again to read after the read budget was used up.
  void RetryRead();
  /// Bytes of the read buffer that count towards the read budget.
  std::size_t ReservedReadBytes() const { return read_reservation_.Bytes(); }
  /// Bytes of memory that the read buffer holds, whether they are in use or not.
  std::size_t ReadBufferBytes() const { return read_buffer_.Capacity(); }
  /// Bytes of memory that the write queue holds.
  std::size_t WriteQueueBytes() const { return write_queue_.HeldBytes(); }
  /// Requests an OnData call in the next round, even if no more bytes arrive. Owners use it to limit the work
  /// per round, so that a peer that sends much does not delay the others.
  void ScheduleRead();

  /// Sends what the socket accepts immediately and queues a copy of the rest; while connecting, everything is
  /// queued. Returns false if the connection is closed, also because the write queue exceeded its limit.
  bool Write(std::string_view bytes) { return Write(bytes, {}, {}); }
  bool Write(std::string_view head, std::string_view body, std::string_view tail);
  /// Total bytes passed to Write.
  std::uint64_t BytesQueued() const { return bytes_queued_; }
  /// Total bytes that the socket has accepted.
  std::uint64_t BytesSent() const { return bytes_sent_; }
  /// Bytes in the write queue.
  std::size_t Backlog() const { return static_cast<std::size_t>(bytes_queued_ - bytes_sent_); }
  /// Bytes that the peer's system has not acknowledged: the write queue and what the socket still holds. The
  /// end of our side counts as one byte. Bytes that the socket has accepted are lost if it is closed before
  /// they are acknowledged and the peer writes again.
  std::size_t UndeliveredBytes() const;
  /// Total bytes that the peer's system has acknowledged. The peer may not have read them yet.
  std::uint64_t BytesDelivered() const;
  /// The part of UndeliveredBytes() that was not transmitted yet. It stays above 0 while the peer reads more
  /// slowly than we write.
  std::size_t UnsentBytes() const;

  /// Closes immediately, without calling the owner.
  void Close();
  /// See Limits::close_on_peer_shutdown.
  void SetCloseOnPeerShutdown(bool enabled) { limits_.close_on_peer_shutdown = enabled; }
  /// Shuts down the sending side once the write queue is empty, then lingers: input is discarded until the
  /// peer closes its side. Closing with unread bytes would reset the connection, and the peer might not
  /// receive the last response.
  void ShutdownWhenDrained();
  bool IsLingering() const { return is_lingering_ && state_ == State::kOpen; }
  /// Whether the socket holds bytes that were not read yet.
  bool HasPendingInput() const;

  /// When bytes were last received, or else when the connection was opened.
  Micros LastActivityAt() const { return last_activity_at_; }
  /// When bytes were last received; 0: never.
  Micros LastReceivedAt() const { return last_received_at_; }
  /// When it was accepted, or when connecting started.
  Micros OpenedAt() const { return opened_at_; }

  /// An id assigned by the owner.
  std::uint64_t id = 0;

  void OnReady(std::uint32_t events) override;

 private:
  enum class State { kConnecting, kOpen, kClosed };
  enum class ReadResult { kOk, kFailed };

  void StartConnect();
  void FailConnect(int error);
  bool Register();
  void RetryLater(int error);
  void OnLocalSuccess() { consecutive_local_failures_ = 0; }
  bool FinishConnecting(std::uint32_t events);
  void Read();
  ReadResult ReceiveRound();
  ReadResult HandleReceiveError(int error);
  bool MakeReadSpace();
  std::size_t ReadLimit() const;
  std::size_t RequiredBufferBytes() const;
  std::size_t ReservedPart(std::size_t buffer_bytes) const;
  void ShrinkReadBuffer();
  bool CanRead() const { return may_have_input_ && !is_read_paused_ && !is_closing_; }
  std::size_t SendNow(std::string_view head, std::string_view body, std::string_view tail);
  bool Flush();
  bool SendWriteQueue();
  void Fail();
  void Linger();
  void ResetOnClose();

  EventLoop& loop_;
  Owner& owner_;
  Limits limits_;
  Fd fd_;
  State state_;
  EventLoop::Handle handle_ = 0;

  MemoryReservation read_reservation_;
  ReadBuffer read_buffer_;
  std::size_t expected_message_bytes_ = 0;
  bool is_buffer_full_ = false;  // more input needs a larger buffer, which was not to be had
  bool is_read_paused_ = false;
  bool is_read_scheduled_ = false;
  bool may_have_input_ = false;  // the socket may hold unread bytes

  bool is_closing_ = false;
  bool is_lingering_ = false;
  bool has_failed_locally_ = false;
  bool has_read_eof_ = false;        // the end of the peer's data was read
  bool has_peer_shut_down_ = false;  // epoll reported that the peer shut down or failed

  MemoryReservation write_reservation_;
  WriteQueue write_queue_;
  std::uint64_t bytes_queued_ = 0;
  std::uint64_t bytes_sent_ = 0;

  Micros last_activity_at_{0};
  Micros last_received_at_{0};
  Micros opened_at_{0};
  Endpoint peer_{};                            // of an outgoing connection
  int consecutive_local_failures_ = 0;         // system calls in a row that failed for local reasons
  std::optional<TimerQueue::Id> retry_timer_;  // retries a failed call, or reports the failure
};

}  // namespace tinspan::net
