/// Bounds the memory of parsed JSON in one process.
#ifndef SAVORYRING_LIBBASE_PARSING_TURN_H_
#define SAVORYRING_LIBBASE_PARSING_TURN_H_

#include <cstdint>
#include <string_view>

namespace savoryring {

/// Limit of the estimate for a document with which a caller or worker is
/// served. No text of up to 262,144 bytes exceeds it.
constexpr std::uint64_t kMaxParsedBytes = 16U << 20U;
/// Limit of the estimate for a configuration: about 19,000 queues.
constexpr std::uint64_t kMaxParsedConfigurationBytes = 40U << 20U;

/// Upper estimate of the memory that the parsed form of a JSON text takes.
std::uint64_t EstimateParsedBytes(std::string_view text);

/// Throws Error (kBodyTooLarge) if the estimate exceeds `max_bytes`.
void CheckParsedBytes(std::string_view text,
                      std::uint64_t max_bytes = kMaxParsedBytes);

/// Held while the parsed form of a text from an HTTP client exists. Waits until
/// no other large text, or fewer than eight small ones, are held. Don't hold it
/// while waiting for anything else.
class ParsingTurn {
 public:
  /// Throws as CheckParsedBytes().
  explicit ParsingTurn(std::string_view text,
                       std::uint64_t max_bytes = kMaxParsedBytes);
  ~ParsingTurn();
  ParsingTurn(const ParsingTurn&) = delete;
  ParsingTurn& operator=(const ParsingTurn&) = delete;

 private:
  bool large;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_PARSING_TURN_H_
