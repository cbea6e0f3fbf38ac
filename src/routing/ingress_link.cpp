#include "routing/ingress_link.hpp"

namespace tinspan {
constexpr double kCongestionThreshold = 0.05;  // share of late fills
constexpr double kAbandonedFillWeight =
    0.6;                                    // of a fill left during congestion, what is counted as running on
constexpr double kMaxAbandonedShare = 0.4;  // of the capacity, what such fills take at most
constexpr Micros kReportLifetime{3'000'000};  // an older report says nothing of now
constexpr double kReportWeight = 0.3;         // of a new report among those before it
constexpr double kOpenUtilization = 0.8;      // below it no own load closes the link
constexpr double kOverfullUtilization = 2;    // above it that part of the fills less is accepted
constexpr double kMaxUtilization = 1000;      // no link holds so many times what fits
constexpr std::uint64_t kDrawSalt = 0;        // no server has this id

void IngressLink::InitializeCapacity(std::size_t cache_count) {
  if (load_.capacity != 0 || cache_count == 0) return;
  load_.capacity = capacity_.InitialFillCapacity(cache_count, 1, Senders::kOwnZone);
}

bool IngressLink::CanAccept(const Request& request) const {
  const bool is_reported = HasRecentReport();
  if (is_reported && utilization_ < kOpenUtilization) return true;
  // Told to hold many times what fits, it takes few fills: the capacities that all its instances learn
  // together never get low enough.
  if (is_reported && AdmissionDraw(request, kDrawSalt) * utilization_ > kOverfullUtilization) return false;
  const double abandoned = abandoned_fills_.Value(context_.now, context_.settings);
  return capacity_.HasCapacity(load_, kDrawSalt, request, abandoned);
}

bool IngressLink::HasRecentReport() const { return context_.now - reported_at_ < kReportLifetime; }

void IngressLink::RecordReport(const LoadReport& report) {
  const double utilization = report.link_utilization.value_or(-1);
  if (!(utilization >= 0 && utilization <= kMaxUtilization)) return;
  utilization_ += (HasRecentReport() ? kReportWeight : 1) * (utilization - utilization_);
  reported_at_ = context_.now;
}

void IngressLink::RecordAbandonedFill(double fill_probability) {
  const double abandoned = abandoned_fills_.Value(context_.now, context_.settings);
  if (!IsCongested() || abandoned >= kMaxAbandonedShare * load_.capacity) return;
  abandoned_fills_.Add(kAbandonedFillWeight * fill_probability, context_.now, context_.settings);
}

bool IngressLink::IsCongested() const { return load_.late_rate.Value() > kCongestionThreshold; }

}  // namespace tinspan
