#include "bluebell/settings/internal/duplicate_names.h"

#include <cstddef>
#include <functional>
#include <set>
#include <variant>

namespace bluebell::internal {

namespace {

// Scans the text of valid JSON and tracks the path of the current value.
class name_scanner {
 public:
  explicit name_scanner(std::string_view text) : text_(text) {}

  std::vector<std::string> Run() {
    while (position_ < text_.size()) {
      ScanToken();
    }
    return duplicates_;
  }

 private:
  struct object_level {
    std::set<std::string, std::less<>> names;
    std::string name;
    // True if the next string is a name and not a value.
    bool expects_name = true;
  };
  struct list_level {
    std::size_t index = 0;
  };
  using level = std::variant<object_level, list_level>;

  void ScanToken() {
    const char c = text_[position_];
    if (c == '"') {
      ScanString();
      return;
    }
    if (c == '/') {
      SkipComment();
      return;
    }
    ++position_;
    if (c == '{') {
      levels_.emplace_back(object_level());
    } else if (c == '[') {
      levels_.emplace_back(list_level());
    } else if ((c == '}' || c == ']') && !levels_.empty()) {
      levels_.pop_back();
    } else if (c == ',' && !levels_.empty()) {
      NextElement();
    }
  }

  void NextElement() {
    if (auto* list = std::get_if<list_level>(&levels_.back())) {
      ++list->index;
    } else {
      std::get<object_level>(levels_.back()).expects_name = true;
    }
  }

  void ScanString() {
    const std::size_t start = position_ + 1;
    ++position_;
    while (position_ < text_.size() && text_[position_] != '"') {
      position_ += text_[position_] == '\\' ? 2 : 1;
    }
    const std::string_view content = text_.substr(start, position_ - start);
    ++position_;
    auto* object =
        levels_.empty() ? nullptr : std::get_if<object_level>(&levels_.back());
    if (object == nullptr || !object->expects_name) {
      return;
    }
    object->expects_name = false;
    object->name = content;
    if (!object->names.emplace(content).second) {
      duplicates_.push_back(Path());
    }
  }

  void SkipComment() {
    const bool is_block = text_.substr(position_, 2) == "/*";
    const std::string_view closing = is_block ? "*/" : "\n";
    const std::size_t end = text_.find(closing, position_ + 2);
    position_ =
        end == std::string_view::npos ? text_.size() : end + closing.size();
  }

  std::string Path() const {
    std::string path;
    for (const level& current : levels_) {
      if (const auto* list = std::get_if<list_level>(&current)) {
        path.append("[").append(std::to_string(list->index)).append("]");
      } else {
        path.append(path.empty() ? "" : ".")
            .append(std::get<object_level>(current).name);
      }
    }
    return path;
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::vector<level> levels_;
  std::vector<std::string> duplicates_;
};

}  // namespace

std::vector<std::string> FindDuplicateNames(std::string_view text) {
  return name_scanner(text).Run();
}

}  // namespace bluebell::internal
