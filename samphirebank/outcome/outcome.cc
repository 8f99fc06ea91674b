#include "samphirebank/outcome/outcome.h"
