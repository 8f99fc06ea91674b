#include "samphirebank/claims/claims.h"
