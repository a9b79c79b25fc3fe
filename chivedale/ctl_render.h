// Text output of chivedalectl in aligned columns.
#ifndef CHIVEDALE_CTL_RENDER_H_
#define CHIVEDALE_CTL_RENDER_H_

#include <string>
#include <vector>

#include "chivedale/burn.h"
#include "chivedale/table_codec.h"
#include "chivedale/work.h"

namespace chivedale {

// Columns are as wide as their widest cell; numeric columns are right-aligned.
// Control characters are replaced, so that a name cannot inject terminal escape
// sequences.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> heading);

  // Command. `cells` must have as many elements as the heading.
  void Add(std::vector<std::string> cells);
  // Query.
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> lines_;
};

std::string RenderTable(const Table& table);
std::string RenderChanges(const std::vector<TableChange>& changes);
std::string RenderBurn(const BurnReport& report);

// Each renders the JSON of a server's answer and throws Error(kBadRequest) if
// it is malformed or lacks a key.
std::string RenderHistoryText(const std::string& json);
std::string RenderStatusText(const std::string& json);
std::string RenderWorkersText(const std::string& json);
std::string RenderQueueText(const std::string& json);
std::string RenderJobText(const std::string& json);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_RENDER_H_
