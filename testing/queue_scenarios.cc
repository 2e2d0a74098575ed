#include "testing/queue_scenarios.h"

namespace bluebell {

namespace {

bench_stream Stream(const std::string& caller, rank priority, double load) {
  const policy_values defaults;
  bench_stream stream;
  stream.caller = caller;
  stream.priority = priority;
  stream.load = load;
  stream.budget = defaults.default_deadline[RankIndex(priority)];
  constexpr std::array<milliseconds, kRanks.size()> kServiceTimes = {
      milliseconds(10), milliseconds(15), milliseconds(20)};
  stream.service_time = kServiceTimes[RankIndex(priority)];
  return stream;
}

queue_scenario Scenario(const std::string& name,
                        std::uint32_t slots,
                        std::vector<bench_stream> streams) {
  queue_scenario scenario;
  scenario.name = name;
  scenario.setup.slots = slots;
  scenario.setup.actual_slots = slots;
  scenario.setup.streams = std::move(streams);
  return scenario;
}

std::vector<bench_stream> SteadyStreams() {
  return {Stream("urgent-a", rank::kUrgent, 0.15),
          Stream("urgent-b", rank::kUrgent, 0.15),
          Stream("normal-a", rank::kNormal, 0.25),
          Stream("deferrable-a", rank::kDeferrable, 0.15)};
}

}  // namespace

queue_scenario SteadyLoad(std::uint32_t slots) {
  return Scenario("steady", slots, SteadyStreams());
}

queue_scenario DeferrableFlood(std::uint32_t slots) {
  std::vector<bench_stream> streams = SteadyStreams();
  for (int i = 0; i < 10; ++i) {
    streams.push_back(
        Stream("flood-" + std::to_string(i), rank::kDeferrable, 1));
  }
  return Scenario("deferrable_flood", slots, streams);
}

queue_scenario UrgentFlood(std::uint32_t slots) {
  std::vector<bench_stream> streams = {
      Stream("urgent-a", rank::kUrgent, 0.05),
      Stream("urgent-b", rank::kUrgent, 0.05),
      Stream("normal-a", rank::kNormal, 0.6),
      Stream("deferrable-a", rank::kDeferrable, 0.3)};
  for (int i = 0; i < 4; ++i) {
    streams.push_back(Stream("flood-" + std::to_string(i), rank::kUrgent, 2.5));
  }
  return Scenario("urgent_flood", slots, streams);
}

queue_scenario CallerFlood(std::uint32_t slots) {
  std::vector<bench_stream> streams = {
      Stream("urgent-a", rank::kUrgent, 0.2),
      Stream("deferrable-a", rank::kDeferrable, 0.1),
      Stream("flood", rank::kNormal, 10)};
  for (int i = 0; i < 4; ++i) {
    streams.push_back(
        Stream("normal-" + std::to_string(i), rank::kNormal, 0.1));
  }
  return Scenario("caller_flood", slots, streams);
}

std::vector<queue_scenario> QueueScenarios(std::uint32_t slots) {
  return {SteadyLoad(slots), DeferrableFlood(slots), UrgentFlood(slots),
          CallerFlood(slots)};
}

}  // namespace bluebell
