#include "routing/noise_model.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "routing/answer_forecast.h"

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A machine whose state is drawn anew in each period.
class NoisyMachine {
 public:
  NoisyMachine(double share, milliseconds period)
      : share(share), period(period) {}

  double SlowdownAt(milliseconds time) {
    const auto index = static_cast<std::size_t>(time / this->period);
    while (this->states.size() <= index) {
      const double drawn = std::uniform_real_distribution<>(0, 1)(this->random);
      this->states.push_back(drawn < this->share ? 7.0 : 1.0);
    }
    return this->states[index];
  }

 private:
  double share;
  milliseconds period;
  std::mt19937_64 random{11};
  std::vector<double> states;
};

NoiseModel LearntFrom(double share, milliseconds period) {
  NoisyMachine machine(share, period);
  NoiseModel noise;
  constexpr milliseconds kGap{100};
  for (milliseconds time{0}; time < std::chrono::minutes(10); time += kGap) {
    noise.Observe(machine.SlowdownAt(time), machine.SlowdownAt(time + kGap),
                  kGap);
  }
  return noise;
}

ForecastInput Input(milliseconds work, double slowed_chance) {
  ForecastInput input;
  input.work = work;
  input.slowed_chance = slowed_chance;
  input.slowdown = 7;
  return input;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(NoiseModelTest)

BOOST_AUTO_TEST_CASE(LearnsHowLongSlowedTimesLast) {
  const auto noise = LearntFrom(0.25, milliseconds(500));
  // A quarter of the periods is slowed; three quarters of those that follow a
  // slowed one are not.
  BOOST_TEST(noise.SlowingRate() > 0.4);
  BOOST_TEST(noise.SlowingRate() < 0.6);
  BOOST_TEST(noise.RecoveryRate() > 1.2);
  BOOST_TEST(noise.RecoveryRate() < 1.8);
  BOOST_TEST(noise.TypicalSlowdown() > 6.5);
}

BOOST_AUTO_TEST_CASE(BelievesAnOldReportLess) {
  const auto noise = LearntFrom(0.25, milliseconds(500));
  BOOST_TEST(noise.SlowedChance(7, milliseconds(0)) > 0.99);
  BOOST_TEST(noise.SlowedChance(1, milliseconds(0)) < 0.01);
  const double late = noise.SlowedChance(7, milliseconds(500));
  BOOST_TEST(late < 0.7);
  BOOST_TEST(late > 0.25);
  const double mean = noise.SlowedChance(7, std::chrono::seconds(60));
  BOOST_TEST(std::abs(mean - 0.25) < 0.05);
}

BOOST_AUTO_TEST_CASE(LearnsNothingFromReportsFarApart) {
  NoiseModel noise;
  const double before = noise.SlowingRate();
  for (int pair = 0; pair < 100; ++pair)
    noise.Observe(1, 7, std::chrono::seconds(2));
  BOOST_TEST(noise.SlowingRate() == before);
}

BOOST_AUTO_TEST_CASE(KnowsNothingOfAServiceThatReportsNoSlowdown) {
  NoiseModel noise;
  BOOST_TEST(noise.SlowedChanceWithoutReport() == 0);
  noise.NoteReport();
  BOOST_TEST(noise.SlowedChanceWithoutReport() > 0);
  const auto learnt = LearntFrom(0.25, milliseconds(500));
  BOOST_TEST(std::abs(learnt.SlowedChanceWithoutReport() - 0.25) < 0.05);
}

BOOST_AUTO_TEST_CASE(ForecastsAgreeWithASimulation) {
  constexpr milliseconds kPeriod{500};
  constexpr milliseconds kWork{160};
  constexpr milliseconds kObjective{400};
  const auto noise = LearntFrom(0.25, kPeriod);
  NoisyMachine machine(0.25, kPeriod);
  std::mt19937_64 random(17);
  int calls[2] = {0, 0};
  int in_time[2] = {0, 0};
  for (int call = 0; call < 20'000; ++call) {
    const milliseconds begin(random() % 3'000'000);
    const bool is_slowed = machine.SlowdownAt(begin) > 1;
    double work_left = static_cast<double>(kWork.count());
    milliseconds time = begin;
    while (work_left > 0) {
      work_left -= 1 / machine.SlowdownAt(time);
      time += milliseconds(1);
    }
    calls[is_slowed ? 1 : 0] += 1;
    if (time - begin <= kObjective) in_time[is_slowed ? 1 : 0] += 1;
  }
  const double usual = static_cast<double>(in_time[0]) / calls[0];
  const double slowed = static_cast<double>(in_time[1]) / calls[1];
  BOOST_TEST_MESSAGE("usual " << usual << " slowed " << slowed);
  // The model knows no fixed periods and the simulation no spread of the work.
  BOOST_TEST(std::abs(ChanceWithin(kObjective, Input(kWork, 0), noise) -
                      usual) < 0.06);
  BOOST_TEST(std::abs(ChanceWithin(kObjective, Input(kWork, 1), noise) -
                      slowed) < 0.25);
}

BOOST_AUTO_TEST_CASE(MoreOverheadLessChance) {
  const auto noise = LearntFrom(0.25, milliseconds(500));
  double last = 1;
  nanoseconds last_time{0};
  for (int wait = 0; wait < 400; wait += 20) {
    auto input = Input(milliseconds(100), 0.1);
    input.overhead = milliseconds(wait);
    const double chance = ChanceWithin(milliseconds(400), input, noise);
    const auto time = ExpectedTime(input, noise);
    BOOST_TEST(chance <= last);
    BOOST_TEST((time > last_time));
    last = chance;
    last_time = time;
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
