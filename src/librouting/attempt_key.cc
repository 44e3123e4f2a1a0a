#include "librouting/attempt_key.h"

namespace savoryring {

AttemptKey AttemptKeyOf(const wire::AttemptId& id) {
  return {.entry = id.entry(),
          .entry_incarnation = id.entry_incarnation(),
          .counter = id.counter()};
}

void FillAttemptId(const AttemptKey& key, wire::AttemptId* id) {
  id->set_entry(key.entry);
  id->set_entry_incarnation(key.entry_incarnation);
  id->set_counter(key.counter);
}

std::string ToString(const AttemptKey& key) {
  return key.entry + "-" + std::to_string(key.entry_incarnation) + "-" +
         std::to_string(key.counter);
}

}  // namespace savoryring
