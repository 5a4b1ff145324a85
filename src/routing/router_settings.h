// Settings of what a host believes of its workers. A switch that is off takes
// one protection away; tests use it to show what the protection is for.
#pragma once

#include <chrono>

namespace burdockwheel::routing {

// How the load of a worker is estimated between two reports.
struct LoadSettings {
  // The load from other hosts returns to its mean in this multiple of the time
  // of a call.
  double forgetting_service_times = 1.0;
  std::chrono::nanoseconds mean_time = std::chrono::milliseconds(500);
  bool is_claim_checked = true;
};

// How the speed of a worker is estimated.
struct SpeedSettings {
  double smoothing = 0.1;  // the weight of a new sample
  // Samples older than this lose their weight against a new one.
  std::chrono::nanoseconds sample_lifetime = std::chrono::seconds(2);
  // An attempt counts as overdue beyond this multiple of the service time.
  double overdue_ratio = 3.0;
  // Differences between workers up to this ratio are taken for noise.
  double noise_ratio = 1.25;
  bool is_age_believed = true;
};

struct StandingSettings {
  double ejection_score = 3.0;
  std::chrono::nanoseconds failure_half_life = std::chrono::seconds(2);
  // Failures in a row count together if no more than this lies between two.
  std::chrono::nanoseconds row_gap = std::chrono::seconds(60);
  double success_factor = 0.7;  // what a success leaves of the failure score
  std::chrono::nanoseconds shortest_back_off = std::chrono::seconds(1);
  std::chrono::nanoseconds longest_back_off = std::chrono::seconds(60);
  double back_off_jitter = 0.25;  // a share of the back-off, either way
  int trial_successes = 3;
  std::chrono::nanoseconds ramp_time = std::chrono::seconds(10);
  double ramp_start = 0.1;  // the weight of a worker that was just listed
  // Relative slowness at which a worker becomes slow, and active again.
  double slow_ratio = 2.0;
  double recovered_ratio = 1.4;
  // A worker that looks slower than this and was not used for the longest
  // exploring gap is explored too.
  double starved_ratio = 1.2;
  // Calls between two that explore a slow worker, unless one is long overdue.
  int calls_per_exploring = 1000;
  std::chrono::nanoseconds shortest_exploring_gap = std::chrono::seconds(1);
  std::chrono::nanoseconds longest_exploring_gap = std::chrono::seconds(16);
  double most_ejected_share = 0.5;
  bool is_failure_penalized = true;
  bool is_ejecting = true;
  bool is_floor_held = true;
  bool is_ramping = true;
};

struct DrainSettings {
  // Absence from the list that is taken for the end of a worker's life.
  std::chrono::nanoseconds shortest_absence = std::chrono::seconds(2);
  // How long a life that has said it ends is remembered without its record,
  // which may be listed again after the platform was down.
  std::chrono::nanoseconds leaving_memory = std::chrono::minutes(5);
  // A worker's health may lag by this much.
  std::chrono::nanoseconds health_lag = std::chrono::seconds(30);
  std::chrono::nanoseconds recheck_gap = std::chrono::seconds(10);
  int denials_needed = 3;
  bool is_freshness_checked = true;
};

struct CrossingSettings {
  // How fast the share of calls that cross may rise without and with workers
  // left in the own failure domain, in shares per second.
  double forced_rise = 4.0;
  double chosen_rise = 0.2;
  double fall = 0.1;
  double margin = 0.1;       // the share that may always cross
  double hysteresis = 0.25;  // a share of the crossing cost
  std::chrono::nanoseconds averaging_time = std::chrono::milliseconds(250);
  bool is_capped = true;
};

// The bound on the calls that all hosts together send to a cold worker in any
// second: a multiple of the service's rate plus a constant number.
struct WarmUpSettings {
  double excess = 0;  // zero: no bound
  double slack = 0;
};

struct RouterSettings {
  LoadSettings load;
  SpeedSettings speed;
  StandingSettings standing;
  DrainSettings drain;
  CrossingSettings crossing;
  WarmUpSettings warm_up;
  // Calls that a worker may hold beyond its slots, by this host's estimate.
  double slot_allowance = 2.0;
  // With no own attempt in flight a report is worth nothing after this
  // multiple of the service time, and a single call may ask anew.
  double report_lifetimes = 0.5;
  // It may while the host's calls in flight are fewer than this multiple of
  // its share of all slots.
  double asking_share = 1.5;
  bool is_slot_limit_held = true;
  // A mean wait at the workers is harmful beyond this share of what is left of
  // a call's objective without its work.
  double harmful_wait_share = 0.25;
  // Reports older than this do not count for the limit on calls in flight.
  std::chrono::nanoseconds load_memory = std::chrono::seconds(1);
  bool is_in_flight_limited = true;
};

}  // namespace burdockwheel::routing
