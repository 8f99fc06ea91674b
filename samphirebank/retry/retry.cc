#include "samphirebank/retry/retry.h"
