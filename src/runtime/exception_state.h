#pragma once

#include <cxxabi.h>

#include <cstring>

namespace currantbeam {

/// Takes the exceptions that the calling fiber is handling off its thread until
/// the end of the scope, in which other fibers run. The C++ runtime keeps them
/// in a list for each thread, so a fiber that leaves a handler would otherwise
/// release an exception of the fiber that has entered one last.
class ExceptionState {
 public:
  ExceptionState() {
    std::memcpy(&this->saved, abi::__cxa_get_globals(), sizeof(this->saved));
    std::memset(abi::__cxa_get_globals(), 0, sizeof(this->saved));
  }
  ~ExceptionState() {
    std::memcpy(abi::__cxa_get_globals(), &this->saved, sizeof(this->saved));
  }
  ExceptionState(const ExceptionState&) = delete;
  auto operator=(const ExceptionState&) -> ExceptionState& = delete;

 private:
  /// The layout of the Itanium C++ ABI.
  struct Globals {
    void* caught_exceptions;
    unsigned int uncaught_exceptions;
  };

  Globals saved;
};

}  // namespace currantbeam
