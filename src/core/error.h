#pragma once

#include <stdexcept>
#include <string>

#include "core/verdict.h"

namespace currantbeam {

/// Base class of all exceptions that currantbeam throws.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Invalid input; the message names the file, line or field.
class InputError : public Error {
 public:
  using Error::Error;
};

/// A failed request. Its verdict says whether it may be retried without running
/// twice.
class RequestError : public Error {
 public:
  RequestError(Verdict verdict, const std::string& what)
      : Error(what), verdict(verdict) {}
  [[nodiscard]] auto GetVerdict() const -> Verdict { return this->verdict; }

 private:
  Verdict verdict;
};

}  // namespace currantbeam
