#include "libestate/prepared_estate.h"

#include <string_view>
#include <utility>

#include "libbase/checksum.h"
#include "libbase/json_checker.h"
#include "libbase/paced_work.h"
#include "libestate/estate.pb.h"
#include "libestate/estate_document.h"

namespace savoryring {
namespace {

constexpr std::string_view kQueuesKey = R"({"queues":)";
constexpr std::string_view kServicesKey = R"(,"services":)";
constexpr std::string_view kEnd = "}";
constexpr std::uint64_t kPartsPerItem = 10;

// XXH64 of the sections as one JSON object.
std::uint64_t SectionsChecksum(
    const std::map<std::string, std::string>& sections) {
  std::string text = "{";
  for (const auto& [name, json] : sections) {
    text += (text.size() > 1 ? "," : "") + QuoteInParts(name) + ":" +
            QuoteInParts(json);
  }
  return Checksum(text + "}");
}

std::string CanonicalText(const std::map<std::string, std::string>& sections) {
  std::string text = "{";
  for (const auto& [name, json] : sections) {
    text +=
        (text.size() > 1 ? "," : "") + nlohmann::json(name).dump() + ":" + json;
  }
  return text + "}";
}

void EncodeService(const ServiceSpec& service, wire::ParsedService& encoded) {
  encoded.set_name(service.name);
  encoded.set_timeout_ms(static_cast<std::uint64_t>(service.timeout.count()));
  encoded.set_tail_target_ms(
      static_cast<std::uint64_t>(service.tail_target.count()));
  *encoded.mutable_depends_on() = {service.depends_on.begin(),
                                   service.depends_on.end()};
}

ServiceSpec DecodeService(wire::ParsedService& encoded) {
  return {
      .name = std::move(*encoded.mutable_name()),
      .timeout = Milliseconds(static_cast<std::int64_t>(encoded.timeout_ms())),
      .tail_target =
          Milliseconds(static_cast<std::int64_t>(encoded.tail_target_ms())),
      .depends_on = {encoded.depends_on().begin(), encoded.depends_on().end()}};
}

void EncodeQueue(const QueueSpec& queue, wire::ParsedQueue& encoded) {
  encoded.set_name(queue.name);
  encoded.set_host(queue.host);
  encoded.set_prefix(queue.prefix);
  encoded.set_service(queue.service);
  encoded.set_priority(queue.priority);
  encoded.set_attempts(queue.attempts);
  encoded.set_slack(queue.slack);
  encoded.set_latency_target_ms(
      static_cast<std::uint64_t>(queue.latency_target.count()));
  encoded.set_timeout_ms(static_cast<std::uint64_t>(queue.timeout.count()));
}

QueueSpec DecodeQueue(wire::ParsedQueue& encoded) {
  return {
      .name = std::move(*encoded.mutable_name()),
      .host = std::move(*encoded.mutable_host()),
      .prefix = std::move(*encoded.mutable_prefix()),
      .service = std::move(*encoded.mutable_service()),
      .priority = encoded.priority(),
      .attempts = encoded.attempts(),
      .slack = encoded.slack(),
      .latency_target =
          Milliseconds(static_cast<std::int64_t>(encoded.latency_target_ms())),
      .timeout = Milliseconds(static_cast<std::int64_t>(encoded.timeout_ms()))};
}

// Empty if the estate has no such form.
std::string Encode(const PreparedEstate& prepared) {
  const auto queues = prepared.sections.find("queues");
  const bool has_form = prepared.sections.size() == 2 &&
                        queues != prepared.sections.end() &&
                        prepared.sections.contains("services") &&
                        prepared.text == CanonicalText(prepared.sections);
  if (!has_form)
    return "";
  wire::ParsedEstate parsed;
  parsed.set_text_checksum(Checksum(prepared.text));
  parsed.set_sections_checksum(prepared.checksum);
  parsed.set_queues_bytes(queues->second.size());
  for (const ServiceSpec& service : prepared.estate.services) {
    CountParts(kPartsPerItem);
    EncodeService(service, *parsed.add_services());
  }
  for (const QueueSpec& queue : prepared.estate.queues) {
    CountParts(kPartsPerItem);
    EncodeQueue(queue, *parsed.add_queues());
  }
  return parsed.SerializeAsString();
}

// Null if `encoded` is not the form of this text.
std::shared_ptr<PreparedEstate> Decode(const std::string& text,
                                       const std::string& encoded) {
  wire::ParsedEstate parsed;
  const bool belongs_to_text = !encoded.empty() &&
                               parsed.ParseFromString(encoded) &&
                               parsed.text_checksum() == Checksum(text);
  const std::size_t around_sections =
      kQueuesKey.size() + kServicesKey.size() + kEnd.size();
  if (!belongs_to_text || text.size() < around_sections ||
      parsed.queues_bytes() > text.size() - around_sections)
    return nullptr;
  auto prepared = std::make_shared<PreparedEstate>();
  const std::size_t services_begin =
      kQueuesKey.size() + parsed.queues_bytes() + kServicesKey.size();
  prepared->sections["queues"] =
      text.substr(kQueuesKey.size(), parsed.queues_bytes());
  prepared->sections["services"] =
      text.substr(services_begin, text.size() - services_begin - kEnd.size());
  prepared->checksum = parsed.sections_checksum();
  for (wire::ParsedService& service : *parsed.mutable_services()) {
    CountParts(kPartsPerItem);
    prepared->estate.services.push_back(DecodeService(service));
  }
  for (wire::ParsedQueue& queue : *parsed.mutable_queues()) {
    CountParts(kPartsPerItem);
    prepared->estate.queues.push_back(DecodeQueue(queue));
  }
  prepared->estate.IndexQueues();
  return prepared;
}

}  // namespace

std::shared_ptr<const PreparedEstate> PrepareEstate(std::string text,
                                                    std::string source,
                                                    const std::string& parsed) {
  auto prepared = Decode(text, parsed);
  if (prepared) {
    prepared->parsed = parsed;
    prepared->text = std::move(text);
  } else {
    ParsedEstate result = ParseEstateAndSections(text);
    prepared = std::make_shared<PreparedEstate>();
    prepared->estate = std::move(result.estate);
    prepared->sections = std::move(result.sections);
    prepared->checksum = SectionsChecksum(prepared->sections);
    prepared->text = std::move(text);
    prepared->parsed = Encode(*prepared);
  }
  prepared->source = std::move(source);
  return prepared;
}

std::shared_ptr<const PreparedEstate> PrepareEstateDocument(
    const nlohmann::json& document) {
  auto prepared = std::make_shared<PreparedEstate>();
  prepared->estate = ParseEstateDocument(document);
  prepared->sections = SectionsOf(document);
  prepared->checksum = SectionsChecksum(prepared->sections);
  prepared->text = CanonicalText(prepared->sections);
  prepared->parsed = Encode(*prepared);
  return prepared;
}

}  // namespace savoryring
