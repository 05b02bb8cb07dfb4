#pragma once

#include <stdexcept>
#include <string>

#include "core/execution_status.h"

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

/// A failed request. Its execution status says whether it may be retried
/// without running twice.
class RequestError : public Error {
 public:
  RequestError(ExecutionStatus status, const std::string& what)
      : Error(what), status(status) {}
  [[nodiscard]] auto GetExecutionStatus() const -> ExecutionStatus {
    return this->status;
  }

 private:
  ExecutionStatus status;
};

}  // namespace currantbeam
