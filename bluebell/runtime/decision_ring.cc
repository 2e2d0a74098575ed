#include "bluebell/runtime/decision_ring.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

namespace bluebell {

decision_ring::decision_ring(std::size_t capacity) : capacity_(capacity) {
  records_.reserve(capacity);
}

void decision_ring::Add(decision_record added) {
  if (records_.size() < capacity_) {
    records_.push_back(std::move(added));
    return;
  }
  records_[next_] = std::move(added);
  next_ = (next_ + 1) % capacity_;
}

std::vector<decision_record> decision_ring::Find(const request_id& id) const {
  std::vector<decision_record> found;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    const decision_record& record = records_[(next_ + i) % records_.size()];
    if (record.request == id) {
      found.push_back(record);
    }
  }
  return found;
}

std::string ToJson(const std::vector<decision_record>& records) {
  boost::json::array rows;
  for (const decision_record& record : records) {
    const auto since_epoch = std::chrono::duration_cast<milliseconds>(
        record.when.time_since_epoch());
    boost::json::object row{{"request", record.request.ToString()},
                            {"unix_ms", since_epoch.count()},
                            {"service", record.service.value()},
                            {"rank", std::string(ToString(record.priority))},
                            {"step", record.step},
                            {"why", record.why}};
    if (!record.endpoint.endpoint.value().empty()) {
      row["endpoint"] = record.endpoint.endpoint.value();
      row["run"] = record.endpoint.run.value();
      row["epoch"] = record.at.value();
    }
    rows.push_back(std::move(row));
  }
  return boost::json::serialize(rows);
}

}  // namespace bluebell
