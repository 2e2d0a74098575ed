// A table of text with aligned columns.
//
//   text_table table({"ID", "STATE"});
//   table.Add({"lk-west-a-entry-1", "live"});

#ifndef BLUEBELL_CTL_INTERNAL_TEXT_TABLE_H_
#define BLUEBELL_CTL_INTERNAL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace bluebell::ctl::internal {

class text_table {
 public:
  explicit text_table(std::vector<std::string> head);

  // Missing cells are empty.
  void Add(std::vector<std::string> row);
  bool empty() const { return rows_.size() == 1; }
  // Nothing if the table has no rows.
  std::string ToString() const;

 private:
  // The head is the first row.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_TEXT_TABLE_H_
