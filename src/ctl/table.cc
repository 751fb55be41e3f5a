#include "ctl/table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragewinch {

namespace {

[[nodiscard]] std::string Printable(std::string text) {
  for (char& c : text) {
    if (static_cast<unsigned char>(c) < ' ' || c == 0x7f)
      c = ' ';
  }
  return text;
}

[[nodiscard]] bool IsTable(const Json& value) {
  return value.isArray() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json& item) { return item.isObject(); });
}

}  // namespace

std::vector<Json> Rows(const Json& value) {
  std::vector<Json> rows;
  if (value.isArray()) {
    for (const Json& item : value)
      rows.push_back(item);
  } else if (value.isObject()) {
    for (const std::string& name : value.getMemberNames()) {
      Json row = value[name];
      if (!row.isObject()) {
        Json wrapped;
        wrapped["value"] = std::move(row);
        row = std::move(wrapped);
      }
      if (!row.isMember("name"))
        row["name"] = name;
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::string CellText(const Json& value) {
  if (value.isNull())
    return "";
  if (value.isString())
    return Printable(value.asString());
  if (value.isBool())
    return value.asBool() ? "yes" : "no";
  if (!value.isArray() && !value.isObject())
    return WriteJson(value);
  std::string text;
  const auto add = [&text](const char* separator, const std::string& part) {
    text += (text.empty() ? "" : separator) + part;
  };
  if (value.isArray()) {
    for (const Json& item : value)
      add(", ", CellText(item));
  } else {
    for (const std::string& name : value.getMemberNames())
      add(" ", Printable(name) + "=" + CellText(value[name]));
  }
  return text;
}

std::string FormatTable(const std::vector<std::string>& members,
                        const std::vector<Json>& rows) {
  std::vector<std::vector<std::string>> columns;
  for (const std::string& member : members) {
    std::vector<std::string> cells{Printable(member)};
    std::transform(rows.begin(), rows.end(), std::back_inserter(cells),
                   [&](const Json& row) {
                     return row.isObject() ? CellText(row[member]) : "";
                   });
    const bool empty =
        std::all_of(cells.begin() + 1, cells.end(),
                    [](const std::string& cell) { return cell.empty(); });
    if (!empty)
      columns.push_back(std::move(cells));
  }
  if (columns.empty())
    return "(none)\n";
  std::vector<std::size_t> widths;
  widths.reserve(columns.size());
  for (const auto& cells : columns) {
    widths.push_back(std::max_element(cells.begin(), cells.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.size() < b.size();
                                      })
                         ->size());
  }
  std::string text;
  for (std::size_t line = 0; line <= rows.size(); ++line) {
    std::string written;
    for (std::size_t i = 0; i < columns.size(); ++i) {
      std::string cell = columns[i][line];
      cell.resize(widths[i], ' ');
      written += (i == 0 ? "" : "  ") + cell;
    }
    written.erase(written.find_last_not_of(' ') + 1);
    text += written + "\n";
  }
  return text;
}

std::string FormatTable(const std::vector<Json>& rows) {
  std::vector<std::string> members;
  for (const Json& row : rows) {
    if (!row.isObject())
      continue;
    for (const std::string& name : row.getMemberNames()) {
      if (std::find(members.begin(), members.end(), name) == members.end())
        members.push_back(name);
    }
  }
  std::stable_partition(members.begin(), members.end(),
                        [](const auto& name) { return name == "name"; });
  return FormatTable(members, rows);
}

std::string FormatDocument(const Json& document) {
  if (!document.isObject())
    return CellText(document) + "\n";
  std::string text;
  for (const std::string& name : document.getMemberNames()) {
    const Json& value = document[name];
    text += Printable(name) + ":";
    if (IsTable(value)) {
      text += '\n';
      text += FormatTable(Rows(value));
    } else {
      text += ' ';
      text += CellText(value);
      text += '\n';
    }
  }
  return text;
}

}  // namespace boragewinch
