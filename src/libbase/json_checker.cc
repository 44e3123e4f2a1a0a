#include "libbase/json_checker.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "libbase/paced_work.h"

namespace savoryring {
namespace {

using nlohmann::json;

// More than any valid document needs. A deeply nested text would take many
// times its size in memory, and most functions on a parsed one are recursive.
constexpr int kMaxJsonDepth = 100;
constexpr std::size_t kPieceBytes = 4U << 10U;
constexpr std::uint64_t kPartsPerPiece = 128;

// As far as the text is valid, brackets outside of strings are those that a
// parser sees.
bool IsNestedTooDeeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (i % kPieceBytes == 0)
      CountParts(kPartsPerPiece);
    const char c = text[i];
    if (in_string && c == '\\')
      ++i;
    else if (c == '"')
      in_string = !in_string;
    else if (!in_string && (c == '[' || c == '{'))
      ++depth;
    else if (!in_string && (c == ']' || c == '}'))
      --depth;
    if (depth > kMaxJsonDepth)
      return true;
  }
  return false;
}

const json& EmptyObject() {
  static const json empty = json::object();
  return empty;
}

// Counts parts as a parser goes on through a text.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* current, const char* begin)
      : current(current), begin(begin) {}

  reference operator*() const { return *this->current; }
  CountingIterator& operator++() {
    ++this->current;
    if ((this->current - this->begin) % kPieceBytes == 0)
      CountParts(kPartsPerPiece);
    return *this;
  }
  bool operator==(const CountingIterator& other) const {
    return this->current == other.current;
  }

 private:
  static constexpr std::ptrdiff_t kPieceBytes = 256;
  static constexpr std::uint64_t kPartsPerPiece = 16;

  const char* current;
  const char* begin;
};

json ParseInParts(std::string_view text) {
  const char* begin = text.data();
  return json::parse(CountingIterator(begin, begin),
                     CountingIterator(begin + text.size(), begin));
}

// Whether a character of UTF-8 begins here.
bool BeginsCharacter(char byte) {
  constexpr unsigned kContinuationMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  return (static_cast<unsigned char>(byte) & kContinuationMask) !=
         kContinuation;
}

std::string DumpArrayInParts(const json& array) {
  std::string text = "[";
  for (const json& item : array) {
    CountParts(1 + item.size());
    text += (text.size() > 1 ? "," : "") + item.dump();
  }
  return text + "]";
}

}  // namespace

json ParseJson(std::string_view text) {
  if (IsNestedTooDeeply(text)) {
    throw Error(
        ResultCode::kMalformedJson,
        "nested more than " + std::to_string(kMaxJsonDepth) + " levels deep");
  }
  try {
    return ParseInParts(text);
  } catch (const json::exception& failure) {
    throw Error(ResultCode::kMalformedJson, failure.what());
  }
}

std::string DumpInParts(const json& document) {
  if (document.is_array())
    return DumpArrayInParts(document);
  if (!document.is_object())
    return document.dump();
  std::string text = "{";
  for (const auto& item : document.items()) {
    CountParts();
    text += (text.size() > 1 ? "," : "") + json(item.key()).dump() + ":";
    text += item.value().is_array() ? DumpArrayInParts(item.value())
                                    : item.value().dump();
  }
  return text + "}";
}

std::string QuoteInParts(std::string_view text) {
  std::string quoted = "\"";
  while (!text.empty()) {
    std::size_t size = std::min(text.size(), kPieceBytes);
    while (size < text.size() && !BeginsCharacter(text[size]))
      ++size;
    CountParts(kPartsPerPiece);
    const std::string piece = json(text.substr(0, size)).dump();
    quoted.append(piece, 1, piece.size() - 2);
    text.remove_prefix(size);
  }
  return quoted + "\"";
}

void ReleaseInParts(json& document) {
  if (document.is_structured()) {
    for (json& item : document) {
      CountParts();
      if (item.is_array())
        ReleaseInParts(item);
      else
        item = nullptr;
    }
  }
  document = nullptr;
}

void ProblemList::Add(ResultCode code,
                      const std::string& pointer,
                      std::string detail) {
  this->problems.push_back(
      {.code = code, .pointer = pointer, .detail = std::move(detail)});
}

void ProblemList::ThrowIfAny() const {
  if (!this->problems.empty())
    throw Error(this->problems);
}

ObjectView::ObjectView(const json& value,
                       std::string pointer,
                       ProblemList& problems)
    : value(&value), base_pointer(std::move(pointer)), problems(&problems) {
  if (value.is_object())
    return;
  problems.Add(ResultCode::kWrongType,
               this->base_pointer.empty() ? "/" : this->base_pointer,
               "expected an object");
  this->value = &EmptyObject();
}

void ObjectView::AllowKeys(
    std::initializer_list<std::string_view> known) const {
  for (const auto& item : this->value->items()) {
    CountParts();
    if (std::ranges::find(known, item.key()) == known.end())
      this->Report(ResultCode::kUnknownKey, item.key(), "unknown key");
  }
}

bool ObjectView::Has(std::string_view key) const {
  return this->Find(key) != nullptr;
}

std::string ObjectView::String(std::string_view key, bool required) const {
  const json* found = this->Find(key);
  if (found == nullptr) {
    if (required)
      this->Report(ResultCode::kMissingKey, key, "required key is missing");
    return "";
  }
  if (!found->is_string()) {
    this->Report(ResultCode::kWrongType, key, "expected a string");
    return "";
  }
  if (required && found->get_ref<const std::string&>().empty())
    this->Report(ResultCode::kOutOfRange, key, "must not be empty");
  return found->get<std::string>();
}

bool ObjectView::Boolean(std::string_view key, bool fallback) const {
  const json* found = this->Find(key);
  if (found == nullptr)
    return fallback;
  if (!found->is_boolean()) {
    this->Report(ResultCode::kWrongType, key, "expected true or false");
    return fallback;
  }
  return found->get<bool>();
}

double ObjectView::Number(std::string_view key, double fallback) const {
  const json* found = this->Find(key);
  if (found == nullptr)
    return fallback;
  if (!found->is_number()) {
    this->Report(ResultCode::kWrongType, key, "expected a number");
    return fallback;
  }
  const double number = found->get<double>();
  if (number < 0)
    this->Report(ResultCode::kOutOfRange, key, "must not be negative");
  return number;
}

std::uint64_t ObjectView::Integer(std::string_view key,
                                  std::uint64_t fallback,
                                  IntegerRange range) const {
  const json* found = this->Find(key);
  if (found == nullptr)
    return fallback;
  if (!found->is_number_integer()) {
    this->Report(ResultCode::kWrongType, key, "expected a whole number");
    return fallback;
  }
  const bool negative =
      !found->is_number_unsigned() && found->get<std::int64_t>() < 0;
  const std::uint64_t number = negative ? 0 : found->get<std::uint64_t>();
  if (negative || number < range.min || number > range.max) {
    this->Report(ResultCode::kOutOfRange, key,
                 "must be from " + std::to_string(range.min) + " to " +
                     std::to_string(range.max));
    return fallback;
  }
  return number;
}

Milliseconds ObjectView::Time(std::string_view key,
                              Milliseconds fallback) const {
  constexpr std::uint64_t kDayMs = 86'400'000;
  const auto count = static_cast<std::uint64_t>(fallback.count());
  return Milliseconds(this->Integer(key, count, {.min = 1, .max = kDayMs}));
}

std::vector<std::uint64_t> ObjectView::Integers(std::string_view key,
                                                IntegerRange range) const {
  const json* found = this->Find(key);
  if (found == nullptr)
    return {};
  const bool all_in_range =
      found->is_array() && std::ranges::all_of(*found, [&](const json& v) {
        return v.is_number_unsigned() && v.get<std::uint64_t>() >= range.min &&
               v.get<std::uint64_t>() <= range.max;
      });
  if (!all_in_range) {
    this->Report(ResultCode::kWrongType, key,
                 "expected an array of whole numbers from " +
                     std::to_string(range.min) + " to " +
                     std::to_string(range.max));
    return {};
  }
  return found->get<std::vector<std::uint64_t>>();
}

std::vector<std::string> ObjectView::Strings(std::string_view key) const {
  const json* found = this->Find(key);
  if (found == nullptr)
    return {};
  const bool all_strings =
      found->is_array() &&
      std::ranges::all_of(*found, [](const json& v) { return v.is_string(); });
  if (!all_strings) {
    this->Report(ResultCode::kWrongType, key, "expected an array of strings");
    return {};
  }
  return found->get<std::vector<std::string>>();
}

std::vector<ObjectView> ObjectView::Objects(std::string_view key) const {
  const json* found = this->Find(key);
  if (found == nullptr)
    return {};
  if (!found->is_array()) {
    this->Report(ResultCode::kWrongType, key, "expected an array");
    return {};
  }
  std::vector<ObjectView> views;
  const std::string prefix = this->PointerTo(key) + "/";
  for (const json& item : *found) {
    CountParts();
    views.emplace_back(item, prefix + std::to_string(views.size()),
                       *this->problems);
  }
  return views;
}

ObjectView ObjectView::Object(std::string_view key) const {
  const json* found = this->Find(key);
  return {found == nullptr ? EmptyObject() : *found, this->PointerTo(key),
          *this->problems};
}

std::string ObjectView::PointerTo(std::string_view key) const {
  json::json_pointer pointer;
  pointer.push_back(std::string(key));
  return this->base_pointer + pointer.to_string();
}

void ObjectView::Report(ResultCode code,
                        std::string_view key,
                        std::string detail) const {
  this->problems->Add(code, this->PointerTo(key), std::move(detail));
}

const json* ObjectView::Find(std::string_view key) const {
  CountParts();
  const auto found = this->value->find(key);
  return found == this->value->end() ? nullptr : &*found;
}

}  // namespace savoryring
