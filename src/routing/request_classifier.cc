#include "routing/request_classifier.h"

#include <algorithm>
#include <charconv>

#include "routing/routing_table.h"

namespace currantbeam {
namespace {

constexpr const char* kDeadlineHeader = "currantbeam-deadline-ms";
constexpr const char* kIdempotencyHeader = "idempotency-key";

/// @return the value of the header, or an empty string if it is missing.
auto HeaderValue(const HttpRequest& request, const std::string& name)
    -> std::string {
  const auto found = request.find(name);
  if (found == request.end()) return {};
  return std::string(found->value());
}

/// @return the segment of the path with this index, without the query; empty if
///   there are fewer segments.
auto PathSegment(std::string_view path, int index) -> std::string {
  path = path.substr(0, path.find('?'));
  for (int i = 0; i < index; ++i) {
    const auto slash = path.find('/');
    if (slash == std::string_view::npos) return {};
    path.remove_prefix(slash + 1);
  }
  return std::string(path.substr(0, path.find('/')));
}

/// @return the value of the query parameter as sent, not decoded; empty if it
///   is missing.
auto QueryValue(std::string_view target, const std::string& name)
    -> std::string {
  const auto question_mark = target.find('?');
  if (question_mark == std::string_view::npos) return {};
  auto query = target.substr(question_mark + 1);
  while (!query.empty()) {
    const auto end = query.find('&');
    const auto pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return {};
}

/// @return the key of the request from the source that the service configures;
///   empty if it is missing.
auto FindKey(const HttpRequest& request, const Service& service)
    -> std::string {
  const std::string_view target(request.target().data(),
                                request.target().size());
  switch (service.key_source) {
    case KeySource::kPathSegment:
      return PathSegment(target.substr(service.path_prefix.size()),
                         service.key_segment);
    case KeySource::kHeader:
      return HeaderValue(request, service.key_name);
    case KeySource::kQuery:
      return QueryValue(target, service.key_name);
  }
  return {};
}

/// @return the neighbour that the request names, or kOtherNeighbour if it names
///   none that is configured.
auto FindNeighbour(const HttpRequest& request,
                   const Configuration& configuration) -> NeighbourName {
  NeighbourName requested(HeaderValue(request, configuration.neighbour_header));
  for (const auto& neighbour : configuration.neighbours) {
    if (neighbour.name == requested) return requested;
  }
  return NeighbourName(kOtherNeighbour);
}

/// @return the time allowed for the request: that of the deadline header, at
///   most the deadline of its class.
/// @throws InputError if the header is not a positive number.
auto FindDeadline(const HttpRequest& request, const RequestClass& request_class)
    -> std::chrono::milliseconds {
  const auto text = HeaderValue(request, kDeadlineHeader);
  if (text.empty()) return request_class.deadline;
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value <= 0) {
    throw InputError(std::string(kDeadlineHeader) + ": '" + text +
                     "' is not a positive number of milliseconds");
  }
  return std::min(std::chrono::milliseconds(value), request_class.deadline);
}

}  // namespace

auto Classify(const HttpRequest& request, const Configuration& configuration)
    -> ClassifiedRequest {
  const std::string_view target(request.target().data(),
                                request.target().size());
  const std::string_view method(request.method_string().data(),
                                request.method_string().size());
  ClassifiedRequest classified;
  classified.service = configuration.MatchService(target);
  if (classified.service == nullptr) {
    throw InputError("no service for path '" + std::string(target) + "'");
  }
  const auto& service = *classified.service;
  classified.request_class = configuration.MatchClass(service, method, target);
  if (classified.request_class == nullptr) {
    throw InputError("no class of work of service '" + service.name.Value() +
                     "' for " + std::string(method) + " " +
                     std::string(target));
  }
  classified.key = FindKey(request, service);
  if (classified.key.empty()) {
    throw InputError("request for service '" + service.name.Value() +
                     "' carries no key");
  }
  classified.hash = HashKey(classified.key);
  classified.neighbour = FindNeighbour(request, configuration);
  classified.deadline = FindDeadline(request, *classified.request_class);
  classified.idempotency_key = HeaderValue(request, kIdempotencyHeader);
  return classified;
}

}  // namespace currantbeam
