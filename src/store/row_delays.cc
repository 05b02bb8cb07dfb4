#include "store/row_delays.h"

namespace currantbeam {

auto RowDelays::AppendTo(std::string& text) const -> void {
  text += "# TYPE currantbeam_row_delay_seconds histogram\n";
  for (const auto& [key, delays] : this->histograms) {
    const auto& [table, source] = key;
    delays.AppendTo(text, "currantbeam_row_delay_seconds",
                    "table=\"" + table + "\",source=\"" +
                        std::string(ToString(source)) + "\"");
  }
}

}  // namespace currantbeam
