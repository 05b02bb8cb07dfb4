#pragma once

#include <stdexcept>
#include <string>

#include "core/verdict.h"

namespace currantbeam {

/// The base of every error that currantbeam throws.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Input that cannot be used; the message names its file, line or field.
class InputError : public Error {
 public:
  using Error::Error;
};

/// A request that failed, with whether it may have run.
class RequestError : public Error {
 public:
  RequestError(Verdict verdict, const std::string& what)
      : Error(what), verdict(verdict) {}
  [[nodiscard]] auto GetVerdict() const -> Verdict { return this->verdict; }

 private:
  Verdict verdict;
};

}  // namespace currantbeam
