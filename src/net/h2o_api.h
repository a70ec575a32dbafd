#pragma once

// H2O_USE_LIBUV comes from the build.
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
}
