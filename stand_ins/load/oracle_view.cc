#include "stand_ins/load/oracle_view.h"

#include <algorithm>
#include <limits>

namespace burdockwheel::stand_ins {
namespace {

// Added for a worker that refuses calls, so that it comes after all others.
constexpr double kUnusablePenalty = 1e9;

}  // namespace

OracleView::OracleView(const std::vector<LoadWorker>& workers) {
  for (const LoadWorker& worker : workers)
    this->states.emplace_back().service = worker.service;
}

std::size_t OracleView::Begin(std::string_view service) {
  std::size_t best = 0;
  double best_time = std::numeric_limits<double>::infinity();
  int best_in_flight = 0;
  for (std::size_t worker = 0; worker < this->states.size(); ++worker) {
    const WorkerState& state = this->states[worker];
    if (!service.empty() && state.service != service) continue;
    const double time = ExpectedTime(state);
    const int in_flight = state.in_flight;
    if (time > best_time) continue;
    if (time == best_time && in_flight >= best_in_flight) continue;
    best = worker;
    best_time = time;
    best_in_flight = in_flight;
  }
  ++this->states[best].in_flight;
  return best;
}

void OracleView::End(std::size_t worker) { --this->states[worker].in_flight; }

void OracleView::Update(std::size_t worker, const OracleReading& reading) {
  WorkerState& state = this->states[worker];
  state.slowness = reading.slowness;
  state.slots = std::max(1, reading.slots);
  state.is_usable = reading.is_usable;
}

double OracleView::ExpectedTime(const WorkerState& state) {
  const int slots = state.slots;
  const int waiting = std::max(0, state.in_flight + 1 - slots);
  const double rounds = 1 + static_cast<double>(waiting) / slots;
  return state.slowness * rounds + (state.is_usable ? 0 : kUnusablePenalty);
}

}  // namespace burdockwheel::stand_ins
