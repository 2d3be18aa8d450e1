#include "Control/timeline_page.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "Control/timeline_merge.h"

namespace chestnuthead {

namespace {

constexpr int page_width = 1400;
constexpr int label_width = 150;
constexpr int margin = 20;
constexpr int lane_height = 34;
constexpr int axis_height = 30;
constexpr int mark_radius = 5;
constexpr int axis_steps = 8;
constexpr int hues = 360;

constexpr const char* page_head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body { font: 14px sans-serif; margin: 20px; color: #222; }
svg { border: 1px solid #ccc; background: #fff; max-width: 100%; height: auto; }
svg text { font: 12px sans-serif; }
.key { display: inline-block; margin: 0 14px 8px 0; }
.key i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin-right: 5px; }
table { border-collapse: collapse; margin-top: 16px; }
th, td { text-align: left; padding: 2px 10px; border-bottom: 1px solid #eee; font-size: 13px; }
th { border-bottom: 1px solid #999; }
</style></head><body>
)";

// Lanes of the processes, colours of the event names, and the time range of the chart.
struct page_layout {
  std::map<std::string, int> lanes;
  std::map<std::string, std::string> colours;
  std::int64_t first = 0;
  std::int64_t last = 0;

  [[nodiscard]] int x_of(std::int64_t wall) const {
    const std::int64_t span = std::max<std::int64_t>(1, this->last - this->first);
    const std::int64_t width = page_width - label_width - 2 * margin;
    return label_width + margin + static_cast<int>((wall - this->first) * width / span);
  }
  [[nodiscard]] static int y_of(int lane) {
    return axis_height + lane * lane_height + lane_height / 2;
  }
  [[nodiscard]] int height() const {
    return axis_height + static_cast<int>(this->lanes.size()) * lane_height;
  }
};

page_layout make_layout(const std::vector<timeline_event>& events) {
  page_layout layout;
  for (const timeline_event& event : events) {
    layout.lanes.emplace(event.node.value, 0);
    layout.colours.emplace(event.name, "");
  }
  int lane = 0;
  for (auto& [node, number] : layout.lanes) {
    number = lane++;
  }
  int colour = 0;
  const int step = hues / std::max(1, static_cast<int>(layout.colours.size()));
  for (auto& [name, text] : layout.colours) {
    text = "hsl(" + std::to_string(colour++ * step) + ",70%,45%)";
  }
  if (!events.empty()) {
    layout.first = events.front().when.wall.count();
    layout.last = events.back().when.wall.count();
  }
  return layout;
}

void draw_axis(std::ostream& out, const page_layout& layout) {
  for (int step = 0; step <= axis_steps; ++step) {
    const std::int64_t offset = (layout.last - layout.first) * step / axis_steps;
    const int x = layout.x_of(layout.first + offset);
    out << "<line x1='" << x << "' y1='" << axis_height << "' x2='" << x << "' y2='"
        << layout.height() << "' stroke='#eee'/><text x='" << x
        << "' y='18' text-anchor='middle' fill='#666'>+" << offset << " ms</text>\n";
  }
}

void draw_lanes(std::ostream& out, const page_layout& layout) {
  for (const auto& [node, lane] : layout.lanes) {
    const int y = page_layout::y_of(lane);
    out << "<text x='10' y='" << y + 4 << "'>" << escape_html(node) << "</text><line x1='"
        << label_width << "' y1='" << y << "' x2='" << page_width << "' y2='" << y
        << "' stroke='#bbb'/>\n";
  }
}

void draw_marks(std::ostream& out, const page_layout& layout,
                const std::vector<timeline_event>& events) {
  for (const timeline_event& event : events) {
    out << "<circle cx='" << layout.x_of(event.when.wall.count()) << "' cy='"
        << page_layout::y_of(layout.lanes.at(event.node.value)) << "' r='" << mark_radius
        << "' fill='" << layout.colours.at(event.name) << "' fill-opacity='0.7'><title>"
        << escape_html(format_time(event.when.wall) + " " + event.name + " " + event.request.value +
                       " " + event.endpoint.value + " " + event.detail)
        << "</title></circle>\n";
  }
}

void write_legend(std::ostream& out, const page_layout& layout) {
  for (const auto& [name, colour] : layout.colours) {
    out << "<span class='key'><i style='background:" << colour << "'></i>" << escape_html(name)
        << "</span>\n";
  }
}

void write_table(std::ostream& out, const std::vector<timeline_event>& events) {
  out << "<table><tr><th>time</th><th>process</th><th>event</th><th>request</th><th>endpoint</th>"
         "<th>detail</th></tr>\n";
  for (const timeline_event& event : events) {
    out << "<tr><td>" << format_time(event.when.wall) << "</td><td>"
        << escape_html(event.node.value) << "</td><td>" << escape_html(event.name) << "</td><td>"
        << escape_html(event.request.value) << "</td><td>" << escape_html(event.endpoint.value)
        << "</td><td>" << escape_html(event.detail) << "</td></tr>\n";
  }
  out << "</table>\n";
}

}  // namespace

std::string escape_html(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string format_timeline_page(const std::vector<timeline_event>& events) {
  const page_layout layout = make_layout(events);
  std::ostringstream out;
  out << page_head << "<h1>Time line</h1>\n<p>" << events.size() << " events of "
      << layout.lanes.size() << " processes";
  if (!events.empty()) {
    out << ", from " << format_time(events.front().when.wall) << " to "
        << format_time(events.back().when.wall);
  }
  out << ".</p>\n";
  write_legend(out, layout);
  out << "<svg viewBox='0 0 " << page_width << " " << layout.height() << "' width='" << page_width
      << "' height='" << layout.height() << "'>\n";
  draw_axis(out, layout);
  draw_lanes(out, layout);
  draw_marks(out, layout, events);
  out << "</svg>\n";
  write_table(out, events);
  out << "</body></html>\n";
  return out.str();
}

}  // namespace chestnuthead
