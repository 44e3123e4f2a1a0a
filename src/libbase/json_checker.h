/// Validates JSON values against expected keys and types. All problems of a
/// document are collected, so that one run reports every error.
#ifndef SAVORYRING_LIBBASE_JSON_CHECKER_H_
#define SAVORYRING_LIBBASE_JSON_CHECKER_H_

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "savoryring/result.h"
#include "savoryring/time.h"

namespace savoryring {

/// Parses a JSON text. Throws Error (kMalformedJson) with the byte offset of
/// the syntax error, or if the text is nested more than 100 levels deep.
nlohmann::json ParseJson(std::string_view text);

/// As document.dump(). Counts the elements of the document, and of the arrays
/// in it, as parts (see paced_work.h).
std::string DumpInParts(const nlohmann::json& document);
/// The text as a JSON string in quotes. Counts parts as it goes on.
std::string QuoteInParts(std::string_view text);
/// Frees the memory of the document. Counts parts as DumpInParts.
void ReleaseInParts(nlohmann::json& document);

/// Validation problems of one document; its ObjectViews append to it.
class ProblemList {
 public:
  void Add(ResultCode code, const std::string& pointer, std::string detail);
  /// Throws Error with all problems unless the list is empty.
  void ThrowIfAny() const;
  bool empty() const { return this->problems.empty(); }

 private:
  std::vector<Problem> problems;
};

/// Inclusive range of an integer value.
struct IntegerRange {
  std::uint64_t min = 0;
  std::uint64_t max = UINT32_MAX;
};

/// Validating view of one JSON object. The document and the ProblemList must
/// outlive it. The getters return the fallback or an empty value where a key is
/// absent, and report a problem where a value has the wrong type.
class ObjectView {
 public:
  ObjectView(const nlohmann::json& value,
             std::string pointer,
             ProblemList& problems);

  /// Reports every key that is not in `known`.
  void AllowKeys(std::initializer_list<std::string_view> known) const;

  bool Has(std::string_view key) const;
  std::string String(std::string_view key, bool required) const;
  bool Boolean(std::string_view key, bool fallback) const;
  double Number(std::string_view key, double fallback) const;
  std::uint64_t Integer(std::string_view key,
                        std::uint64_t fallback,
                        IntegerRange range) const;
  /// A duration of 1 ms to 24 h, given in milliseconds.
  Milliseconds Time(std::string_view key, Milliseconds fallback) const;
  std::vector<std::uint64_t> Integers(std::string_view key,
                                      IntegerRange range) const;
  std::vector<std::string> Strings(std::string_view key) const;
  /// Views of the objects in the array at `key`; none where the key is absent.
  std::vector<ObjectView> Objects(std::string_view key) const;
  /// View of the object at `key`, or of an empty object where it is absent.
  ObjectView Object(std::string_view key) const;

  /// The JSON pointer (RFC 6901) of the value at `key`.
  std::string PointerTo(std::string_view key) const;
  /// The JSON pointer of this object; empty for the document root.
  const std::string& pointer() const { return this->base_pointer; }
  void Report(ResultCode code, std::string_view key, std::string detail) const;

 private:
  const nlohmann::json* Find(std::string_view key) const;

  const nlohmann::json* value;
  std::string base_pointer;
  ProblemList* problems;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_JSON_CHECKER_H_
