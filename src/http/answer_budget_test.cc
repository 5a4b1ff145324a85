#include "http/answer_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace burdockwheel::http {

namespace {

// Answers that end when they are given up.
class BudgetFixture {
 public:
  void Add() {
    const auto index = this->answers.size();
    this->answers.push_back(std::make_unique<AnswerBudget::Share>(
        this->budget, [this, index] { this->answers[index].reset(); }));
  }
  bool IsHeld(std::size_t index) const {
    return this->answers[index] != nullptr;
  }

  AnswerBudget budget{1000};
  std::vector<std::unique_ptr<AnswerBudget::Share>> answers;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerBudgetTest, BudgetFixture)

BOOST_AUTO_TEST_CASE(GivesUpTheLargestAnswer) {
  for (int answer = 0; answer < 3; ++answer) this->Add();
  this->answers[0]->Raise(300);
  this->answers[1]->Raise(600);
  this->answers[2]->Raise(100);
  BOOST_TEST(this->budget.UsedBytes() == 1000U);
  this->answers[2]->Raise(150);
  BOOST_TEST(!this->IsHeld(1));
  BOOST_TEST(this->IsHeld(0));
  BOOST_TEST(this->IsHeld(2));
  BOOST_TEST(this->budget.UsedBytes() == 450U);
}

BOOST_AUTO_TEST_CASE(GivesUpTheAnswerThatGrowsIfItIsTheLargest) {
  this->Add();
  this->Add();
  this->answers[0]->Raise(200);
  this->answers[1]->Raise(900);
  BOOST_TEST(!this->IsHeld(1));
  BOOST_TEST(this->budget.UsedBytes() == 200U);
}

BOOST_AUTO_TEST_CASE(TakesBackWhatAnEndedAnswerHeld) {
  this->Add();
  this->answers[0]->Raise(900);
  this->answers[0].reset();
  this->Add();
  this->answers[1]->Raise(1000);
  BOOST_TEST(this->IsHeld(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
