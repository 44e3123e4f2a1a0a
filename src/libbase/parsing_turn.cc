#include "libbase/parsing_turn.h"

#include <cstddef>
#include <mutex>
#include <semaphore>
#include <string>

#include "libbase/paced_work.h"
#include "savoryring/result.h"

namespace savoryring {
namespace {

// A longer text is parsed alone.
constexpr std::size_t kSmallTextBytes = 16U << 10U;
constexpr std::ptrdiff_t kSmallTurns = 8;
constexpr std::size_t kPieceBytes = 4U << 10U;
constexpr std::uint64_t kPartsPerPiece = 128;

// Bytes for each part of a document in nlohmann::json on x86-64, with the
// allocator's overhead. A value takes 16 bytes in an array that has doubled.
constexpr std::uint64_t kValueBytes = 32;
constexpr std::uint64_t kContainerBytes = 64;
constexpr std::uint64_t kMemberBytes = 96;  // A tree node with its key.
constexpr std::uint64_t kStringBytes = 48;

std::mutex& LargeTurn() {
  static std::mutex turn;
  return turn;
}

std::counting_semaphore<kSmallTurns>& SmallTurns() {
  static std::counting_semaphore<kSmallTurns> turns(kSmallTurns);
  return turns;
}

}  // namespace

// Each value but the first follows a comma, a colon or an opening bracket.
std::uint64_t EstimateParsedBytes(std::string_view text) {
  std::uint64_t bytes = kValueBytes;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (i % kPieceBytes == 0)
      CountParts(kPartsPerPiece);
    const char c = text[i];
    if (in_string) {
      bytes += 1;
      if (c == '\\')
        ++i;
      else if (c == '"')
        in_string = false;
      continue;
    }
    if (c == '"') {
      in_string = true;
      bytes += kStringBytes;
    } else if (c == ',') {
      bytes += kValueBytes;
    } else if (c == ':') {
      bytes += kMemberBytes;
    } else if (c == '[' || c == '{') {
      bytes += kContainerBytes + kValueBytes;
    }
  }
  return bytes;
}

void CheckParsedBytes(std::string_view text, std::uint64_t max_bytes) {
  const std::uint64_t bytes = EstimateParsedBytes(text);
  if (bytes <= max_bytes)
    return;
  throw Error(ResultCode::kBodyTooLarge,
              "the document has too many values: they would take " +
                  std::to_string(bytes) + " bytes of memory, of " +
                  std::to_string(max_bytes));
}

ParsingTurn::ParsingTurn(std::string_view text, std::uint64_t max_bytes)
    : large(text.size() > kSmallTextBytes) {
  CheckParsedBytes(text, max_bytes);
  if (this->large)
    LargeTurn().lock();
  else
    SmallTurns().acquire();
}

ParsingTurn::~ParsingTurn() {
  if (this->large)
    LargeTurn().unlock();
  else
    SmallTurns().release();
}

}  // namespace savoryring
